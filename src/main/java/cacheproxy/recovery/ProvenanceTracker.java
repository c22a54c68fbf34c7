package cacheproxy.recovery;

import java.util.EnumMap;
import java.util.Map;

/**
 * What this process works with that it has not seen itself, where it came from, and until when it may. Whatever is met
 * at first hand takes its place. A decision that rests on something past its bound is a stale one, and is counted;
 * whoever holds the thing is to drop it when {@link #expired} says so, so that there are none.
 */
public final class ProvenanceTracker {
    /** What may come from elsewhere. */
    public enum Subject {
        /** The list of servers. */
        ENDPOINT_LIST("list"),
        /** What was learnt of servers and the origin. */
        LEARNED_STATE("learnt"),
        /** How far zones are open. */
        ZONE_STATES("zones"),
        /** The number of this instance's life. */
        INCARNATION("incarnation");

        private final String wireName;

        Subject(String wireName) {
            this.wireName = wireName;
        }

        /** Its name in status answers. */
        public String wireName() {
            return wireName;
        }
    }

    /**
     * How one thing stands.
     *
     * @param provenance where it came from
     * @param ageMs how old it was when it was taken; NaN where that is not known
     * @param usableUntilMs it may be used until then, by the clock of whoever asks; infinite for no bound
     * @param hint it only makes decisions more careful
     */
    public record Entry(Provenance provenance, double ageMs, double usableUntilMs, boolean hint) {}

    private static final Entry NO_ENTRY = new Entry(Provenance.NONE, Double.NaN, Double.POSITIVE_INFINITY, false);

    private final Map<Subject, Entry> entries = new EnumMap<>(Subject.class);
    private long rejected;
    private long staleDecisions;

    /** Something has been taken from elsewhere. */
    public void adopted(double nowMs, Subject thing, Provenance source, double ageMs, double boundMs, boolean hint) {
        entries.put(
                thing,
                new Entry(
                        source,
                        ageMs,
                        Double.isNaN(ageMs) ? Double.POSITIVE_INFINITY : nowMs + Math.max(0, boundMs - ageMs),
                        hint));
    }

    /** Something was there and was not taken, as it is too old, or another's. */
    public void rejected(Subject thing) {
        rejected++;
    }

    /** It has been met at first hand. */
    public void confirmed(Subject thing) {
        entries.put(thing, new Entry(Provenance.FIRST_HAND, 0, Double.POSITIVE_INFINITY, false));
    }

    /** What was taken has been let go of. */
    public void discarded(Subject thing) {
        entries.remove(thing);
    }

    /** How a thing stands. */
    public Entry entry(Subject thing) {
        return entries.getOrDefault(thing, NO_ENTRY);
    }

    /** Whether it is past its bound, and is to be let go of. */
    public boolean expired(double nowMs, Subject thing) {
        return nowMs > entry(thing).usableUntilMs();
    }

    /** Something is decided by this thing now. */
    public void usedForDecision(double nowMs, Subject thing) {
        if (expired(nowMs, thing)) {
            staleDecisions++;
        }
    }

    /** Records that were found and not used. */
    public long rejected() {
        return rejected;
    }

    /** Decisions by something past its bound; stays 0. */
    public long staleDecisions() {
        return staleDecisions;
    }
}
