package cacheproxy.state;

import cacheproxy.state.Finding.Severity;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * A report on a state folder for people and scripts: each record with its age and how a process that starts now would
 * use it, and the problems found. Scripts parse the fields of the JSON and the layout of the text.
 *
 * @param state the state that was read
 * @param nowMs the time at which records are evaluated, Unix time in milliseconds
 */
public record StateReport(OpenedState state, double nowMs) {
    private static final double MS_PER_SECOND = 1000;

    /** Whether nothing is lost: a process would start with the complete state. */
    public boolean isIntact() {
        return state.findings().stream().allMatch(f -> f.severity() == Severity.HARMLESS);
    }

    // ---- JSON

    /** The report as JSON, with the records' bodies. */
    public JsonObject toJson() {
        JsonObject report = new JsonObject();
        report.addProperty("sound", isIntact());
        StateFileHeader header = state.header();
        if (header != null) {
            report.addProperty("instance", header.instance());
            report.addProperty("fleet", header.fleet());
            report.addProperty("generation", header.generation());
            report.addProperty("starts", header.starts());
        }
        JsonArray records = new JsonArray();
        for (RecordKind kind : RecordKind.values()) {
            StoredRecord record = state.records().get(kind);
            if (record != null) {
                records.add(toJson(record));
            }
        }
        report.add("records", records);
        JsonArray findings = new JsonArray();
        state.findings().forEach(f -> findings.add(toJson(f)));
        report.add("findings", findings);
        return report;
    }

    private JsonObject toJson(StoredRecord record) {
        JsonObject json = record.toJson();
        json.addProperty("age_s", Math.round((nowMs - record.recordedAtMs()) / MS_PER_SECOND));
        json.addProperty("authority", record.kind().authority().wireName());
        json.addProperty("use", record.validity(nowMs).wireName());
        return json;
    }

    private static JsonObject toJson(Finding finding) {
        JsonObject json = new JsonObject();
        json.addProperty("file", finding.file());
        json.addProperty("line", finding.line());
        json.addProperty("what", finding.problem());
        json.addProperty("harm", finding.severity().wireName());
        return json;
    }

    // ---- text

    /** The report as text of a few lines. */
    public String toText() {
        StringBuilder text = new StringBuilder();
        text.append(headline());
        if (!state.records().isEmpty()) {
            text.append(String.format("%-13s%-11s%10s  %-9s%s%n", "kind", "authority", "age", "use", "what"));
        }
        for (RecordKind kind : RecordKind.values()) {
            StoredRecord record = state.records().get(kind);
            if (record != null) {
                text.append(line(record));
            }
        }
        state.findings().forEach(f -> text.append(label(f.severity())).append(f).append('\n'));
        return text.toString();
    }

    private String headline() {
        StateFileHeader header = state.header();
        return header == null
                ? "nothing that could be used\n"
                : String.format(
                        Locale.ROOT,
                        "%s of fleet '%s': generation %d, %d starts%n",
                        header.instance(),
                        header.fleet(),
                        header.generation(),
                        header.starts());
    }

    private String line(StoredRecord record) {
        return String.format(
                Locale.ROOT,
                "%-13s%-11s%9.0fs  %-9s%s%n",
                record.kind().wireName(),
                record.kind().authority().wireName(),
                (nowMs - record.recordedAtMs()) / MS_PER_SECOND,
                record.validity(nowMs).wireName(),
                summary(record));
    }

    private static String label(Severity severity) {
        return switch (severity) {
            case HARMLESS -> "note: ";
            case RECORDS_LOST -> "damage: ";
            case UNUSABLE -> "of no use: ";
        };
    }

    private static String summary(StoredRecord record) {
        try {
            JsonElement body = record.body();
            return switch (record.kind()) {
                case INCARNATION -> body.toString();
                case ENDPOINT_LIST -> listSummary(body.getAsJsonObject());
                case LEARNED_STATE -> body.getAsJsonObject().size() + " pools";
                case ZONE_STATES, OPERATOR_ORDERS -> zonesSummary(body.getAsJsonObject());
            };
        } catch (RuntimeException e) {
            return "a body of another form";
        }
    }

    private static String listSummary(JsonObject list) {
        JsonArray hosts = list.getAsJsonArray("hosts");
        long draining = 0;
        for (JsonElement host : hosts) {
            if (host.getAsJsonObject().get("health").getAsString().equals("draining")) {
                draining++;
            }
        }
        return "version " + list.get("seq") + ", " + hosts.size() + " servers, " + draining + " of them draining";
    }

    private static String zonesSummary(JsonObject zones) {
        return zones.entrySet().stream()
                .map(zone -> zoneSummary(zone.getKey(), zone.getValue().getAsJsonObject()))
                .collect(Collectors.joining(", "));
    }

    private static String zoneSummary(String zone, JsonObject state) {
        return zone + " " + state.get("cause").getAsString() + " " + state.get("open") + "/15 in epoch "
                + state.get("epoch");
    }
}
