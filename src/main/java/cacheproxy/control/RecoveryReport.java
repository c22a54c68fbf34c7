package cacheproxy.control;

import cacheproxy.proxy.lifecycle.RecoveryStatus;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.recovery.RecoveryProgress;
import cacheproxy.state.RecordStore;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.function.Supplier;

/** How a proxy comes back and what it keeps, as the section {@code recovery} of its status. */
final class RecoveryReport {
    static final String SECTION = "recovery";

    private RecoveryReport() {}

    static void register(ControlRegistry registry, Supplier<RecoveryStatus> recovering) {
        registry.section(SECTION, () -> json(recovering.get(), (double) System.currentTimeMillis()));
    }

    private static JsonObject json(RecoveryStatus r, double nowMs) {
        JsonObject o = new JsonObject();
        RecoveryProgress p = r.progress();
        o.addProperty("stage", p == null ? "not looked at" : p.stage().wireName());
        if (p != null) {
            seconds(o, "list_after_s", p.listAfterMs());
            seconds(o, "told_after_s", p.confirmedAfterMs());
            seconds(o, "serving_after_s", p.servingAfterMs());
            o.addProperty("by_clock", p.endedByTimeout());
            o.addProperty("per_second", Math.round(r.requestsPerSecond()));
            seconds(o, "times_the_mean", 1000 * r.rebalancer().loadRatio());
            o.addProperty("clients_ended", r.rebalancer().connectionsClosed());
        }
        JsonArray trusted = new JsonArray();
        for (ProvenanceTracker.Subject thing : ProvenanceTracker.Subject.values()) {
            ProvenanceTracker.Entry s = r.provenance().entry(thing);
            JsonObject t = new JsonObject();
            t.addProperty("thing", thing.wireName());
            t.addProperty("from", s.provenance().wireName());
            seconds(t, "age_s", s.ageMs());
            if (s.hint()) {
                t.addProperty("hint", true);
            }
            seconds(t, "left_s", s.usableUntilMs() - nowMs);
            trusted.add(t);
        }
        o.add("trusted", trusted);
        o.addProperty("not_used", r.provenance().rejectedRecords());
        o.addProperty("stale_decisions", r.provenance().staleDecisions());
        RecordStore k = r.recordStore();
        if (k != null) {
            o.addProperty("folder", r.folder());
            o.addProperty("writes", r.writable());
            o.addProperty("starts", k.header().starts());
            o.addProperty("written_bytes", k.bytesWritten());
            o.addProperty("failed_writes", k.failedWrites());
            o.addProperty("too_long", k.oversizedRecords());
            JsonArray found = new JsonArray();
            r.openedState().findings().forEach(f -> {
                JsonObject one = new JsonObject();
                one.addProperty("finding", f.toString());
                found.add(one);
            });
            o.add("findings", found);
        }
        return o;
    }

    /** To a tenth; nothing where there is none. */
    private static void seconds(JsonObject o, String name, double ms) {
        if (!Double.isNaN(ms) && !Double.isInfinite(ms)) {
            o.addProperty(name, Math.round(ms / 100) / 10.0);
        }
    }
}
