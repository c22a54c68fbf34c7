package cacheproxy.proxy;

import cacheproxy.failover.Zones.Held;
import cacheproxy.membership.Entry;
import cacheproxy.recovery.Source;
import cacheproxy.recovery.Trust;
import cacheproxy.recovery.Trust.Thing;
import cacheproxy.routing.EndpointHealthRecord;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.LoadCount;
import cacheproxy.state.Kind;
import cacheproxy.state.Opened;
import cacheproxy.state.Record;
import cacheproxy.state.Use;
import com.google.gson.JsonObject;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What this process knows from before its start: from the process that it takes over from, and for what that one did
 * not pass, from the state folder, as far as its age allows. Each piece of data that is used is recorded in
 * {@link Trust}.
 */
final class RestoredState {
    private static final Map<Kind, Thing> THING_BY_KIND = Map.of(
            Kind.LIST,
            Thing.LIST,
            Kind.LEARNT,
            Thing.LEARNT,
            Kind.ZONES,
            Thing.ZONES,
            Kind.ORDERS,
            Thing.ZONES,
            Kind.INCARNATION,
            Thing.INCARNATION);

    private final Map<Kind, Record> records = new EnumMap<>(Kind.class);
    private final Map<Kind, Source> sources = new EnumMap<>(Kind.class);
    private final Trust trust;
    private final double nowMs;

    /**
     * Merges what the two sources know; the predecessor's goes before the folder's.
     *
     * @param predecessor null where no process is taken over from
     * @param nowMs wall clock time, in milliseconds
     */
    RestoredState(TakeoverSnapshot predecessor, Opened stored, Trust trust, double nowMs) {
        this.trust = trust;
        this.nowMs = nowMs;
        add(stored.records(), Source.STORED);
        if (predecessor != null) {
            add(predecessor.records(), Source.PREDECESSOR);
            add(
                    Map.of(
                            Kind.LIST,
                            new Record(Kind.LIST, nowMs, predecessor.endpointList()),
                            Kind.LEARNT,
                            new Record(Kind.LEARNT, nowMs, LearntForm.json(predecessor.learnedState()))),
                    Source.PREDECESSOR);
        }
    }

    private void add(Map<Kind, Record> more, Source source) {
        more.forEach((kind, r) -> {
            records.put(kind, r);
            sources.put(kind, source);
        });
    }

    private Use use(Kind kind) {
        Record r = records.get(kind);
        return r == null ? Use.NOTHING : r.use(nowMs);
    }

    /** Whether data of this kind is recent enough to decide by. */
    boolean isValid(Kind kind) {
        return use(kind) == Use.HOLDS;
    }

    private void recordUse(Kind kind) {
        Record r = records.get(kind);
        boolean hint = use(kind) == Use.HINT;
        trust.taken(
                nowMs,
                THING_BY_KIND.get(kind),
                sources.get(kind),
                nowMs - r.toldMs(),
                hint || kind == Kind.LIST ? kind.hintMs() : kind.holdsMs(),
                hint);
    }

    /**
     * The endpoint list to start with: of the restored one and the configured one that of the higher version, and the
     * configured one if the versions are equal. Null if there is neither.
     */
    JsonObject endpointList(JsonObject configured) {
        Record r = records.get(Kind.LIST);
        if (configured != null) {
            trust.taken(nowMs, Thing.LIST, Source.CONFIGURED, Double.NaN, Double.POSITIVE_INFINITY, false);
        }
        if (r == null) {
            return configured;
        }
        try {
            JsonObject list = r.body().getAsJsonObject();
            if (use(Kind.LIST) == Use.NOTHING) {
                trust.refused(Thing.LIST);
                return configured;
            }
            if (configured == null
                    || list.get("seq").getAsLong() > configured.get("seq").getAsLong()) {
                recordUse(Kind.LIST);
                return list;
            }
        } catch (RuntimeException e) {
            trust.refused(Thing.LIST);
        }
        return configured;
    }

    /** What was learned, by pool name; if it is too old for that, the suspected endpoints alone; empty for nothing. */
    Map<String, LearnedState> learnedState() {
        Use use = use(Kind.LEARNT);
        if (use == Use.NOTHING) {
            if (records.containsKey(Kind.LEARNT)) {
                trust.refused(Thing.LEARNT);
            }
            return Map.of();
        }
        try {
            Map<String, LearnedState> all = new HashMap<>(
                    LearntForm.read(records.get(Kind.LEARNT).body().getAsJsonObject()));
            if (use == Use.HINT) {
                all.replaceAll((pool, e) -> suspectsOnly(e));
            }
            recordUse(Kind.LEARNT);
            return all;
        } catch (RuntimeException e) {
            trust.refused(Thing.LEARNT);
            return Map.of();
        }
    }

    /**
     * Endpoints whose last request failed are tried by one request before others; of the origin's throttle and of hot
     * keys nothing is kept.
     */
    private static LearnedState suspectsOnly(LearnedState e) {
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

    /** The last incarnation of this instance; 0 if unknown. */
    long incarnation() {
        Record r = records.get(Kind.INCARNATION);
        try {
            long incarnation = r == null ? 0 : r.body().getAsLong();
            if (incarnation > 0) {
                recordUse(Kind.INCARNATION);
            }
            return Math.max(0, Math.min(Entry.MAX_INCARNATION - 1, incarnation));
        } catch (RuntimeException e) {
            trust.refused(Thing.INCARNATION);
            return 0;
        }
    }

    /** The restored zone decisions of one kind, by the zones' present numbers. */
    Map<Integer, Held> zoneDecisions(Kind kind, List<String> names) {
        Record r = records.get(kind);
        if (r == null) {
            return Map.of();
        }
        try {
            Map<Integer, Held> held = ZoneForm.read(r.body(), names);
            if (!held.isEmpty()) {
                recordUse(kind);
            }
            return held;
        } catch (RuntimeException e) {
            trust.refused(Thing.ZONES);
            return Map.of();
        }
    }
}
