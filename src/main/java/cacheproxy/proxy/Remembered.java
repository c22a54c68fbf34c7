package cacheproxy.proxy;

import cacheproxy.failover.Zones.Held;
import cacheproxy.membership.Member;
import cacheproxy.recovery.Provenance;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.recovery.ProvenanceTracker.Subject;
import cacheproxy.routing.EndpointHealthRecord;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.LoadCount;
import cacheproxy.state.OpenedState;
import cacheproxy.state.RecordKind;
import cacheproxy.state.StoredRecord;
import cacheproxy.state.Validity;
import com.google.gson.JsonObject;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What this process knows from before its start: from the process that it takes over from, which served until now, and
 * of what that one did not tell from the folder, as far as its age allows. Each thing that is used is entered in
 * {@link ProvenanceTracker}.
 */
final class Remembered {
    private static final Map<RecordKind, Subject> THINGS = Map.of(
            RecordKind.ENDPOINT_LIST,
            Subject.ENDPOINT_LIST,
            RecordKind.LEARNED_STATE,
            Subject.LEARNED_STATE,
            RecordKind.ZONE_STATES,
            Subject.ZONE_STATES,
            RecordKind.OPERATOR_ORDERS,
            Subject.ZONE_STATES,
            RecordKind.INCARNATION,
            Subject.INCARNATION);

    private final Map<RecordKind, StoredRecord> records = new EnumMap<>(RecordKind.class);
    private final Map<RecordKind, Provenance> sources = new EnumMap<>(RecordKind.class);
    private final ProvenanceTracker trust;
    private final double nowMs;

    /** {@code predecessor}: null where nobody is taken over from; {@code nowMs}: of the wall clock. */
    Remembered(TakeoverState predecessor, OpenedState stored, ProvenanceTracker trust, double nowMs) {
        this.trust = trust;
        this.nowMs = nowMs;
        put(stored.records(), Provenance.STORED);
        if (predecessor != null) {
            put(predecessor.kept(), Provenance.PREDECESSOR);
            put(
                    Map.of(
                            RecordKind.ENDPOINT_LIST,
                            new StoredRecord(RecordKind.ENDPOINT_LIST, nowMs, predecessor.list()),
                            RecordKind.LEARNED_STATE,
                            new StoredRecord(
                                    RecordKind.LEARNED_STATE, nowMs, LearnedStateCodec.toJson(predecessor.learnt()))),
                    Provenance.PREDECESSOR);
        }
    }

    private void put(Map<RecordKind, StoredRecord> more, Provenance source) {
        more.forEach((kind, r) -> {
            records.put(kind, r);
            sources.put(kind, source);
        });
    }

    private Validity use(RecordKind kind) {
        StoredRecord r = records.get(kind);
        return r == null ? Validity.UNUSABLE : r.validity(nowMs);
    }

    /** Whether what is known of a kind may be decided by. */
    boolean holds(RecordKind kind) {
        return use(kind) == Validity.VALID;
    }

    private void taken(RecordKind kind) {
        StoredRecord r = records.get(kind);
        boolean hint = use(kind) == Validity.HINT;
        trust.adopted(
                nowMs,
                THINGS.get(kind),
                sources.get(kind),
                nowMs - r.recordedAtMs(),
                hint || kind == RecordKind.ENDPOINT_LIST ? kind.hintForMs() : kind.validForMs(),
                hint);
    }

    /**
     * The list to begin with: of what is known and what the configuration says the one of the higher version, and of
     * two of one version the configuration's. Null if there is none.
     */
    JsonObject list(JsonObject configured) {
        StoredRecord r = records.get(RecordKind.ENDPOINT_LIST);
        if (configured != null) {
            trust.adopted(
                    nowMs, Subject.ENDPOINT_LIST, Provenance.CONFIGURED, Double.NaN, Double.POSITIVE_INFINITY, false);
        }
        if (r == null) {
            return configured;
        }
        try {
            JsonObject list = r.body().getAsJsonObject();
            if (use(RecordKind.ENDPOINT_LIST) == Validity.UNUSABLE) {
                trust.rejected(Subject.ENDPOINT_LIST);
                return configured;
            }
            if (configured == null
                    || list.get("seq").getAsLong() > configured.get("seq").getAsLong()) {
                taken(RecordKind.ENDPOINT_LIST);
                return list;
            }
        } catch (RuntimeException e) {
            trust.rejected(Subject.ENDPOINT_LIST);
        }
        return configured;
    }

    /** What was learnt, or of what is too old to hold the doubts alone; empty for nothing. */
    Map<String, LearnedState> learnt() {
        Validity use = use(RecordKind.LEARNED_STATE);
        if (use == Validity.UNUSABLE) {
            if (records.containsKey(RecordKind.LEARNED_STATE)) {
                trust.rejected(Subject.LEARNED_STATE);
            }
            return Map.of();
        }
        try {
            Map<String, LearnedState> all = new HashMap<>(LearnedStateCodec.fromJson(
                    records.get(RecordKind.LEARNED_STATE).body().getAsJsonObject()));
            if (use == Validity.HINT) {
                all.replaceAll((pool, e) -> doubts(e));
            }
            taken(RecordKind.LEARNED_STATE);
            return all;
        } catch (RuntimeException e) {
            trust.rejected(Subject.LEARNED_STATE);
            return Map.of();
        }
    }

    /**
     * Servers that failed last are tried by one request before the others; of the origin's jam and hot keys nothing is
     * left.
     */
    private static LearnedState doubts(LearnedState e) {
        List<EndpointHealthRecord> seen = e.endpoints().stream()
                .filter(s -> s.failures() > 0)
                .map(s -> new EndpointHealthRecord(s.id(), s.startTimeMs(), 1, 0, 0))
                .toList();
        return new LearnedState(
                e.originFetchMs(),
                e.usualLatencyMs(),
                e.latencyDeviationMs(),
                e.usualCostMs(),
                new LoadCount(0, 0),
                new LoadCount(0, 0),
                0,
                List.of(),
                seen);
    }

    /** The incarnation of the last life; 0 if nothing is remembered. */
    long incarnation() {
        StoredRecord r = records.get(RecordKind.INCARNATION);
        try {
            long incarnation = r == null ? 0 : r.body().getAsLong();
            if (incarnation > 0) {
                taken(RecordKind.INCARNATION);
            }
            return Math.max(0, Math.min(Member.MAX_INCARNATION - 1, incarnation));
        } catch (RuntimeException e) {
            trust.rejected(Subject.INCARNATION);
            return 0;
        }
    }

    /** What was held of zones, of one kind; by the zones' numbers now. */
    Map<Integer, Held> zones(RecordKind kind, List<String> names) {
        StoredRecord r = records.get(kind);
        if (r == null) {
            return Map.of();
        }
        try {
            Map<Integer, Held> held = ZoneForm.read(r.body(), names);
            if (!held.isEmpty()) {
                taken(kind);
            }
            return held;
        } catch (RuntimeException e) {
            trust.rejected(Subject.ZONE_STATES);
            return Map.of();
        }
    }
}
