package cacheproxy.recovery;

import java.util.EnumMap;
import java.util.Map;

/**
 * Tracks the source of state that this process uses but has not observed itself, and until when it may be used.
 * First-hand observations replace it. A decision that relies on expired state is counted as stale; the owner of the
 * state discards it when {@link #expired} returns true, so the count stays 0.
 *
 * <p>Times are Unix times in milliseconds. Not thread-safe.
 */
public final class ProvenanceTracker {
    /** The kinds of state that may come from other sources. */
    public enum Subject {
        /** The endpoint list. */
        ENDPOINT_LIST("list"),
        /** What the load balancer has learned about endpoints and the origin. */
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
     * The source of one subject's state.
     *
     * @param provenance its source
     * @param ageMs how old it was when it was adopted; NaN if unknown
     * @param usableUntilMs until when it may be used; infinite if it does not expire
     * @param hint whether it only makes decisions more cautious
     */
    public record Entry(Provenance provenance, double ageMs, double usableUntilMs, boolean hint) {}

    private static final Entry NO_ENTRY = new Entry(Provenance.NONE, Double.NaN, Double.POSITIVE_INFINITY, false);

    private final Map<Subject, Entry> entries = new EnumMap<>(Subject.class);
    private long rejectedRecords;
    private long staleDecisions;

    /**
     * Records that state was adopted from another source.
     *
     * @param ageMs how old it is now; NaN if unknown, in which case it does not expire
     * @param maxAgeMs the age up to which it may be used
     * @param hint whether it only makes decisions more cautious
     */
    public void adopted(
            double nowMs, Subject subject, Provenance provenance, double ageMs, double maxAgeMs, boolean hint) {
        double usableUntilMs = Double.isNaN(ageMs) ? Double.POSITIVE_INFINITY : nowMs + Math.max(0, maxAgeMs - ageMs);
        entries.put(subject, new Entry(provenance, ageMs, usableUntilMs, hint));
    }

    /** Records that a record was found but not adopted, because it is too old or malformed. */
    public void rejected(Subject subject) {
        rejectedRecords++;
    }

    /** Records that the subject has been observed at first hand. */
    public void confirmed(Subject subject) {
        entries.put(subject, new Entry(Provenance.FIRST_HAND, 0, Double.POSITIVE_INFINITY, false));
    }

    /** Records that the adopted state is no longer used. */
    public void discarded(Subject subject) {
        entries.remove(subject);
    }

    /** The source of a subject's state; of provenance {@link Provenance#NONE} if there is none. */
    public Entry entry(Subject subject) {
        return entries.getOrDefault(subject, NO_ENTRY);
    }

    /** Whether the adopted state may no longer be used and has to be discarded. */
    public boolean expired(double nowMs, Subject subject) {
        return nowMs > entry(subject).usableUntilMs();
    }

    /** Records that a decision relies on the state of this subject now. */
    public void usedForDecision(double nowMs, Subject subject) {
        if (expired(nowMs, subject)) {
            staleDecisions++;
        }
    }

    /** The number of records that were found but not adopted. */
    public long rejectedRecords() {
        return rejectedRecords;
    }

    /** The number of decisions that relied on expired state; stays 0. */
    public long staleDecisions() {
        return staleDecisions;
    }
}
