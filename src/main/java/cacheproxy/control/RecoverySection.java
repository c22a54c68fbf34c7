package cacheproxy.control;

import cacheproxy.proxy.lifecycle.RecoveryStatus;
import cacheproxy.recovery.ConnectionRebalancer;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.recovery.ProvenanceTracker.Subject;
import cacheproxy.recovery.RecoveryProgress;
import cacheproxy.state.Finding;
import cacheproxy.state.RecordStore;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.function.Supplier;

/** The section {@code recovery} of the status: the progress of recovery, the sources of state, and the stored state. */
final class RecoverySection {
    private static final String NAME = "recovery";
    private static final double MS_PER_SECOND = 1000;

    private RecoverySection() {}

    static void register(ControlRegistry registry, Supplier<RecoveryStatus> status) {
        registry.section(NAME, () -> toJson(status.get(), (double) System.currentTimeMillis()));
    }

    private static JsonObject toJson(RecoveryStatus status, double nowMs) {
        JsonObject section = new JsonObject();
        RecoveryProgress progress = status.progress();
        section.addProperty(
                "stage", progress == null ? "not looked at" : progress.stage().wireName());
        if (progress != null) {
            addProgress(section, progress);
            addLoad(section, status.requestsPerSecond(), status.rebalancer());
        }
        addProvenance(section, status.provenance(), nowMs);
        if (status.recordStore() != null) {
            section.addProperty("folder", status.folder());
            section.addProperty("writes", status.writable());
            addStore(section, status.recordStore());
            section.add("findings", findings(status.openedState().findings()));
        }
        return section;
    }

    private static void addProgress(JsonObject section, RecoveryProgress progress) {
        addSeconds(section, "list_after_s", progress.listAfterMs());
        addSeconds(section, "told_after_s", progress.confirmedAfterMs());
        addSeconds(section, "serving_after_s", progress.servingAfterMs());
        section.addProperty("by_clock", progress.endedByTimeout());
    }

    private static void addLoad(JsonObject section, double requestsPerSecond, ConnectionRebalancer rebalancer) {
        section.addProperty("per_second", Math.round(requestsPerSecond));
        addTenths(section, "times_the_mean", rebalancer.loadRatio());
        section.addProperty("clients_ended", rebalancer.connectionsClosed());
    }

    private static void addProvenance(JsonObject section, ProvenanceTracker provenance, double nowMs) {
        JsonArray rows = new JsonArray();
        for (Subject subject : Subject.values()) {
            rows.add(row(subject, provenance.entry(subject), nowMs));
        }
        section.add("trusted", rows);
        section.addProperty("not_used", provenance.rejectedRecords());
        section.addProperty("stale_decisions", provenance.staleDecisions());
    }

    private static JsonObject row(Subject subject, ProvenanceTracker.Entry entry, double nowMs) {
        JsonObject row = new JsonObject();
        row.addProperty("thing", subject.wireName());
        row.addProperty("from", entry.provenance().wireName());
        addSeconds(row, "age_s", entry.ageMs());
        if (entry.hint()) {
            row.addProperty("hint", true);
        }
        addSeconds(row, "left_s", entry.usableUntilMs() - nowMs);
        return row;
    }

    private static void addStore(JsonObject section, RecordStore store) {
        section.addProperty("starts", store.header().starts());
        section.addProperty("written_bytes", store.bytesWritten());
        section.addProperty("failed_writes", store.failedWrites());
        section.addProperty("too_long", store.oversizedRecords());
    }

    private static JsonArray findings(List<Finding> findings) {
        JsonArray rows = new JsonArray();
        findings.forEach(finding -> {
            JsonObject row = new JsonObject();
            row.addProperty("finding", finding.toString());
            rows.add(row);
        });
        return rows;
    }

    /** Adds a duration in seconds, rounded to a tenth; adds no field if the value is NaN or infinite. */
    private static void addSeconds(JsonObject json, String name, double ms) {
        if (!Double.isNaN(ms) && !Double.isInfinite(ms)) {
            json.addProperty(name, Math.round(ms / (MS_PER_SECOND / 10)) / 10.0);
        }
    }

    /** Adds a ratio, rounded to a tenth; adds no field if it is NaN or infinite. */
    private static void addTenths(JsonObject json, String name, double ratio) {
        addSeconds(json, name, MS_PER_SECOND * ratio);
    }
}
