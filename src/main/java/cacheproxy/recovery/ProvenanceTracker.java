package cacheproxy.recovery;

import java.util.EnumMap;
import java.util.Map;

/**
 * Tracks where the state came from that this process works with and has not observed itself, and until when it may be
 * used. What is observed at first hand replaces it. A decision that rests on expired state is counted as a stale one;
 * the owner of the state has to discard it when {@link #expired} says so, so that there are none.
 *
 * <p>Times are Unix times in milliseconds. Not thread-safe.
 */
public final class ProvenanceTracker {
    /** Kinds of state that may come from elsewhere. */
    public enum Subject {
        /** The endpoint list. */
        ENDPOINT_LIST("list"),
        /** What the load balancer has learned of endpoints and the origin. */
        LEARNED_STATE("learnt"),
        /** How far zones are open. */
        ZONE_STATES("zones"),
        /** This instance's incarnation number. */
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
     * Where the state of one subject came from.
     *
     * @param provenance its source
     * @param ageMs how old it was when it was adopted; NaN where that is unknown
     * @param usableUntilMs until when it may be used; infinite: without a bound
     * @param hint whether it only makes decisions more careful
     */
    public record Entry(Provenance provenance, double ageMs, double usableUntilMs, boolean hint) {}

    private static final Entry NO_ENTRY = new Entry(Provenance.NONE, Double.NaN, Double.POSITIVE_INFINITY, false);

    private final Map<Subject, Entry> entries = new EnumMap<>(Subject.class);
    private long rejectedRecords;
    private long staleDecisions;

    /**
     * State was adopted from elsewhere.
     *
     * @param ageMs how old it is now; NaN where that is unknown, and then it doesn't expire
     * @param maxAgeMs the age up to which it may be used
     * @param hint whether it only makes decisions more careful
     */
    public void adopted(
            double nowMs, Subject subject, Provenance provenance, double ageMs, double maxAgeMs, boolean hint) {
        double usableUntilMs = Double.isNaN(ageMs) ? Double.POSITIVE_INFINITY : nowMs + Math.max(0, maxAgeMs - ageMs);
        entries.put(subject, new Entry(provenance, ageMs, usableUntilMs, hint));
    }

    /** A record was found and not adopted, as it is too old or malformed. */
    public void rejected(Subject subject) {
        rejectedRecords++;
    }

    /** The subject has been observed at first hand. */
    public void confirmed(Subject subject) {
        entries.put(subject, new Entry(Provenance.FIRST_HAND, 0, Double.POSITIVE_INFINITY, false));
    }

    /** What was adopted is no longer used. */
    public void discarded(Subject subject) {
        entries.remove(subject);
    }

    /** Where the state of a subject came from; of provenance {@link Provenance#NONE} where there is none. */
    public Entry entry(Subject subject) {
        return entries.getOrDefault(subject, NO_ENTRY);
    }

    /** Whether what was adopted may no longer be used, and is to be discarded. */
    public boolean expired(double nowMs, Subject subject) {
        return nowMs > entry(subject).usableUntilMs();
    }

    /** A decision rests on the state of this subject now. */
    public void usedForDecision(double nowMs, Subject subject) {
        if (expired(nowMs, subject)) {
            staleDecisions++;
        }
    }

    /** Records that were found and not adopted. */
    public long rejectedRecords() {
        return rejectedRecords;
    }

    /** Decisions that rested on expired state; stays 0. */
    public long staleDecisions() {
        return staleDecisions;
    }
}
