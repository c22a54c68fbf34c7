package cacheproxy.proxy.lifecycle;

import cacheproxy.failover.StoredZoneState;
import cacheproxy.membership.Member;
import cacheproxy.proxy.LearnedStateCodec;
import cacheproxy.proxy.ZoneFailoverCoordinator;
import cacheproxy.proxy.ZoneStateCodec;
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
 * The state from before the start of this process: that of the process that it takes over from and, for records that
 * the predecessor did not pass, that of the state folder, as far as its age allows. Each record that is used is
 * reported to {@link ProvenanceTracker}.
 */
final class RestoredState {
    private static final Map<RecordKind, Subject> SUBJECT_BY_KIND = Map.of(
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
    private final ProvenanceTracker provenance;
    private final double nowMs;

    /**
     * Merges the two sources; the predecessor's records take precedence over the folder's.
     *
     * @param predecessor null if there is no predecessor
     * @param nowMs Unix time by {@code ProxyClock}, in milliseconds
     */
    RestoredState(TakeoverSnapshot predecessor, OpenedState stored, ProvenanceTracker provenance, double nowMs) {
        this.provenance = provenance;
        this.nowMs = nowMs;
        add(stored.records(), Provenance.STORED);
        if (predecessor != null) {
            add(predecessor.records(), Provenance.PREDECESSOR);
            add(
                    Map.of(
                            RecordKind.ENDPOINT_LIST,
                            new StoredRecord(RecordKind.ENDPOINT_LIST, nowMs, predecessor.endpointList()),
                            RecordKind.LEARNED_STATE,
                            new StoredRecord(
                                    RecordKind.LEARNED_STATE,
                                    nowMs,
                                    LearnedStateCodec.toJson(predecessor.learnedState()))),
                    Provenance.PREDECESSOR);
        }
    }

    private void add(Map<RecordKind, StoredRecord> more, Provenance source) {
        more.forEach((kind, r) -> {
            records.put(kind, r);
            sources.put(kind, source);
        });
    }

    private Validity validity(RecordKind kind) {
        StoredRecord record = records.get(kind);
        return record == null ? Validity.UNUSABLE : record.validity(nowMs);
    }

    private void recordUse(RecordKind kind) {
        StoredRecord record = records.get(kind);
        boolean hint = validity(kind) == Validity.HINT;
        provenance.adopted(
                nowMs,
                SUBJECT_BY_KIND.get(kind),
                sources.get(kind),
                nowMs - record.recordedAtMs(),
                hint || kind == RecordKind.ENDPOINT_LIST ? kind.hintForMs() : kind.validForMs(),
                hint);
    }

    /**
     * The endpoint list to start with: the restored or the configured one, whichever has the higher version, and the
     * configured one if the versions are equal. Null if there is neither.
     */
    JsonObject endpointList(JsonObject configured) {
        StoredRecord record = records.get(RecordKind.ENDPOINT_LIST);
        if (configured != null) {
            provenance.adopted(
                    nowMs, Subject.ENDPOINT_LIST, Provenance.CONFIGURED, Double.NaN, Double.POSITIVE_INFINITY, false);
        }
        if (record == null) {
            return configured;
        }
        try {
            JsonObject list = record.body().getAsJsonObject();
            if (validity(RecordKind.ENDPOINT_LIST) == Validity.UNUSABLE) {
                provenance.rejected(Subject.ENDPOINT_LIST);
                return configured;
            }
            if (configured == null
                    || list.get("seq").getAsLong() > configured.get("seq").getAsLong()) {
                recordUse(RecordKind.ENDPOINT_LIST);
                return list;
            }
        } catch (RuntimeException e) {
            provenance.rejected(Subject.ENDPOINT_LIST);
        }
        return configured;
    }

    /**
     * The learned state by pool name; if it is old enough to be only a hint, reduced by {@link #suspectsOnly}; empty if
     * there is none.
     */
    Map<String, LearnedState> learnedState() {
        Validity validity = validity(RecordKind.LEARNED_STATE);
        if (validity == Validity.UNUSABLE) {
            if (records.containsKey(RecordKind.LEARNED_STATE)) {
                provenance.rejected(Subject.LEARNED_STATE);
            }
            return Map.of();
        }
        try {
            Map<String, LearnedState> states = new HashMap<>(LearnedStateCodec.fromJson(
                    records.get(RecordKind.LEARNED_STATE).body().getAsJsonObject()));
            if (validity == Validity.HINT) {
                states.replaceAll((pool, e) -> suspectsOnly(e));
            }
            recordUse(RecordKind.LEARNED_STATE);
            return states;
        } catch (RuntimeException e) {
            provenance.rejected(Subject.LEARNED_STATE);
            return Map.of();
        }
    }

    /**
     * Keeps the endpoints whose last request failed, with one failure, so that a single request tries each before
     * others follow. The state of the origin's throttle and the hot keys are dropped.
     */
    private static LearnedState suspectsOnly(LearnedState learned) {
        List<EndpointHealthRecord> suspects = learned.endpoints().stream()
                .filter(s -> s.consecutiveFailures() > 0)
                .map(s -> new EndpointHealthRecord(s.id(), s.startTimeMs(), 1, 0, 0))
                .toList();
        return new LearnedState(
                learned.originFetchMs(),
                learned.meanLatencyMs(),
                learned.latencyDeviationMs(),
                learned.meanCostMs(),
                new LoadCount(0, 0),
                new LoadCount(0, 0),
                0,
                List.of(),
                suspects);
    }

    /** The last known incarnation of this instance; 0 if unknown. */
    long incarnation() {
        StoredRecord record = records.get(RecordKind.INCARNATION);
        try {
            long incarnation = record == null ? 0 : record.body().getAsLong();
            if (incarnation > 0) {
                recordUse(RecordKind.INCARNATION);
            }
            return Math.max(0, Math.min(Member.MAX_INCARNATION - 1, incarnation));
        } catch (RuntimeException e) {
            provenance.rejected(Subject.INCARNATION);
            return 0;
        }
    }

    /** The restored zone decisions of one kind, by the zones' current numbers. */
    ZoneFailoverCoordinator.RestoredDecisions zoneDecisions(RecordKind kind, List<String> names) {
        StoredRecord record = records.get(kind);
        if (record == null) {
            return new ZoneFailoverCoordinator.RestoredDecisions(Map.of(), false);
        }
        boolean valid = validity(kind) == Validity.VALID;
        try {
            Map<Integer, StoredZoneState> decisions = ZoneStateCodec.decode(record.body(), names);
            if (!decisions.isEmpty()) {
                recordUse(kind);
            }
            return new ZoneFailoverCoordinator.RestoredDecisions(decisions, valid);
        } catch (RuntimeException e) {
            provenance.rejected(Subject.ZONE_STATES);
            return new ZoneFailoverCoordinator.RestoredDecisions(Map.of(), valid);
        }
    }
}
