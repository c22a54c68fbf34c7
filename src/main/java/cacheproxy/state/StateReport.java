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
public record StateReport(OpenedState opened, double nowMs) {
    /** Whether a process would start from it as it was left. */
    public boolean sound() {
        return opened.findings().stream().allMatch(f -> f.harm() == Severity.NONE);
    }

    /** All of it. */
    public JsonObject json() {
        JsonObject o = new JsonObject();
        o.addProperty("sound", sound());
        StateFileHeader h = opened.header();
        if (h != null) {
            o.addProperty("instance", h.instance());
            o.addProperty("fleet", h.fleet());
            o.addProperty("generation", h.generation());
            o.addProperty("starts", h.starts());
        }
        JsonArray records = new JsonArray();
        for (RecordKind kind : RecordKind.values()) {
            StoredRecord r = opened.records().get(kind);
            if (r != null) {
                JsonObject one = r.json();
                one.addProperty("age_s", Math.round((nowMs - r.toldMs()) / 1000));
                one.addProperty("authority", kind.authority().wireName());
                one.addProperty("use", r.use(nowMs).wireName());
                records.add(one);
            }
        }
        o.add("records", records);
        JsonArray findings = new JsonArray();
        opened.findings().forEach(f -> {
            JsonObject one = new JsonObject();
            one.addProperty("file", f.file());
            one.addProperty("line", f.line());
            one.addProperty("what", f.what());
            one.addProperty("harm", f.harm().wireName());
            findings.add(one);
        });
        o.add("findings", findings);
        return o;
    }

    /** The same in some lines. */
    public String text() {
        StringBuilder s = new StringBuilder();
        StateFileHeader h = opened.header();
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
        if (!opened.records().isEmpty()) {
            s.append(String.format("%-13s%-11s%10s  %-9s%s%n", "kind", "authority", "age", "use", "what"));
        }
        for (RecordKind kind : RecordKind.values()) {
            StoredRecord r = opened.records().get(kind);
            if (r != null) {
                s.append(String.format(
                        Locale.ROOT,
                        "%-13s%-11s%9.0fs  %-9s%s%n",
                        kind.wireName(),
                        kind.authority().wireName(),
                        (nowMs - r.toldMs()) / 1000,
                        r.use(nowMs).wireName(),
                        what(r)));
            }
        }
        opened.findings()
                .forEach(f -> s.append(
                                f.harm() == Severity.NONE
                                        ? "note: "
                                        : f.harm() == Severity.SOME ? "damage: " : "of no use: ")
                        .append(f)
                        .append('\n'));
        return s.toString();
    }

    private static String what(StoredRecord r) {
        Function<JsonElement, String> say = switch (r.kind()) {
            case INCARNATION -> JsonElement::toString;
            case LIST ->
                b -> "version " + b.getAsJsonObject().get("seq") + ", "
                        + b.getAsJsonObject().getAsJsonArray("hosts").size() + " servers, " + draining(b)
                        + " of them draining";
            case LEARNT -> b -> b.getAsJsonObject().size() + " pools";
            case ZONES, ORDERS ->
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
