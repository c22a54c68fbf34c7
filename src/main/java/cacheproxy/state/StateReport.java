package cacheproxy.state;

import cacheproxy.state.Finding.Severity;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Locale;
import java.util.function.Function;

/**
 * What a folder holds, for people and scripts: each record with its age and how far a process that starts now would use
 * it.
 */
public record StateReport(OpenedState state, double nowMs) {
    /** Whether a process would start from it as it was left. */
    public boolean isIntact() {
        return state.findings().stream().allMatch(f -> f.severity() == Severity.HARMLESS);
    }

    /** All of it. */
    public JsonObject toJson() {
        JsonObject o = new JsonObject();
        o.addProperty("sound", isIntact());
        StateFileHeader h = state.header();
        if (h != null) {
            o.addProperty("instance", h.instance());
            o.addProperty("fleet", h.fleet());
            o.addProperty("generation", h.generation());
            o.addProperty("starts", h.starts());
        }
        JsonArray records = new JsonArray();
        for (RecordKind kind : RecordKind.values()) {
            StoredRecord r = state.records().get(kind);
            if (r != null) {
                JsonObject one = r.toJson();
                one.addProperty("age_s", Math.round((nowMs - r.recordedAtMs()) / 1000));
                one.addProperty("authority", kind.authority().wireName());
                one.addProperty("use", r.validity(nowMs).wireName());
                records.add(one);
            }
        }
        o.add("records", records);
        JsonArray findings = new JsonArray();
        state.findings().forEach(f -> {
            JsonObject one = new JsonObject();
            one.addProperty("file", f.file());
            one.addProperty("line", f.line());
            one.addProperty("what", f.problem());
            one.addProperty("harm", f.severity().wireName());
            findings.add(one);
        });
        o.add("findings", findings);
        return o;
    }

    /** The same in some lines. */
    public String toText() {
        StringBuilder s = new StringBuilder();
        StateFileHeader h = state.header();
        s.append(
                h == null
                        ? "nothing that could be used\n"
                        : String.format(
                                Locale.ROOT,
                                "%s of fleet '%s': generation %d, %d starts%n",
                                h.instance(),
                                h.fleet(),
                                h.generation(),
                                h.starts()));
        if (!state.records().isEmpty()) {
            s.append(String.format("%-13s%-11s%10s  %-9s%s%n", "kind", "authority", "age", "use", "what"));
        }
        for (RecordKind kind : RecordKind.values()) {
            StoredRecord r = state.records().get(kind);
            if (r != null) {
                s.append(String.format(
                        Locale.ROOT,
                        "%-13s%-11s%9.0fs  %-9s%s%n",
                        kind.wireName(),
                        kind.authority().wireName(),
                        (nowMs - r.recordedAtMs()) / 1000,
                        r.validity(nowMs).wireName(),
                        what(r)));
            }
        }
        state.findings()
                .forEach(f -> s.append(
                                f.severity() == Severity.HARMLESS
                                        ? "note: "
                                        : f.severity() == Severity.RECORDS_LOST ? "damage: " : "of no use: ")
                        .append(f)
                        .append('\n'));
        return s.toString();
    }

    private static String what(StoredRecord r) {
        Function<JsonElement, String> say = switch (r.kind()) {
            case INCARNATION -> JsonElement::toString;
            case ENDPOINT_LIST ->
                b -> "version " + b.getAsJsonObject().get("seq") + ", "
                        + b.getAsJsonObject().getAsJsonArray("hosts").size() + " servers, " + draining(b)
                        + " of them draining";
            case LEARNED_STATE -> b -> b.getAsJsonObject().size() + " pools";
            case ZONE_STATES, OPERATOR_ORDERS ->
                b -> String.join(
                        ", ",
                        b.getAsJsonObject().entrySet().stream()
                                .map(e -> e.getKey() + " "
                                        + e.getValue()
                                                .getAsJsonObject()
                                                .get("cause")
                                                .getAsString() + " "
                                        + e.getValue().getAsJsonObject().get("open") + "/15 in epoch "
                                        + e.getValue().getAsJsonObject().get("epoch"))
                                .toList());
        };
        try {
            return say.apply(r.body());
        } catch (RuntimeException e) {
            return "a body of another form";
        }
    }

    private static long draining(JsonElement list) {
        long n = 0;
        for (JsonElement host : list.getAsJsonObject().getAsJsonArray("hosts")) {
            n += host.getAsJsonObject().get("health").getAsString().equals("draining") ? 1 : 0;
        }
        return n;
    }
}
