package cacheproxy.state;

import java.util.Arrays;
import java.util.Optional;

/**
 * The kinds of stored records. This is the only place that defines for each kind who has the authority over it, up to
 * which age a starting process may use it, and how long a change may wait to be written (docs/design/state.md has the
 * table with the reasons).
 *
 * <p>If the clock was set back by less than a record's age, the record appears younger than it is. No safety rule
 * therefore depends on an age.
 */
public enum RecordKind {
    /**
     * The incarnation number of this instance in the membership protocol, which only increases. Without it, the
     * instance learns the number from the first peer that contradicts it.
     */
    INCARNATION("incarnation", Authority.SELF, Limits.ANY_AGE, Limits.ANY_AGE, 0),
    /**
     * The endpoint list with its version, as sent by discovery. Draining endpoints in it are binding for the next
     * process, too. A starting process uses it until discovery answers, even while it is only a hint: endpoints that
     * drain in it stay draining, and no node becomes available again because of it. A higher version from the
     * configuration or from discovery takes precedence. After a day the list may name different nodes.
     */
    ENDPOINT_LIST("list", Authority.DISCOVERY, Limits.MINUTE_MS, Limits.DAY_MS, Limits.URGENT_DELAY_MS),
    /**
     * What the load balancer has learned about endpoints and the origin. An endpoint that failed a minute ago is
     * suspected, not avoided; an endpoint is never considered healthy or warm because of this record.
     */
    LEARNED_STATE("learnt", Authority.OBSERVED, Limits.MINUTE_MS / 2, 10 * Limits.MINUTE_MS, Limits.BATCH_DELAY_MS),
    /**
     * Zone states decided on evidence. Whether a zone is open depends on its present health, but its epoch never
     * decreases, so the record is a hint at any age.
     */
    ZONE_STATES("zones", Authority.FLEET, Limits.MINUTE_MS, Limits.ANY_AGE, Limits.URGENT_DELAY_MS),
    /** Zone states ordered by operators, valid until operators revoke them. */
    OPERATOR_ORDERS("orders", Authority.OPERATOR, Limits.ANY_AGE, Limits.ANY_AGE, Limits.URGENT_DELAY_MS);

    /** The limits by which the kinds are defined; ages and delays in milliseconds. */
    private static final class Limits {
        static final double ANY_AGE = Double.POSITIVE_INFINITY;
        static final double MINUTE_MS = 60_000;
        static final double DAY_MS = 86_400_000;
        /** A change whose delay is not longer than this is written regardless of how much was written before. */
        static final double URGENT_DELAY_MS = 100;
        /** Learned state changes with each request; losing a few seconds of it costs little. */
        static final double BATCH_DELAY_MS = 5000;
    }

    private final String wireName;
    private final Authority authority;

    private final double validForMs;

    private final double hintForMs;
    private final double writeDelayMs;

    RecordKind(String wireName, Authority authority, double validForMs, double hintForMs, double writeDelayMs) {
        this.wireName = wireName;
        this.authority = authority;
        this.validForMs = validForMs;
        this.hintForMs = hintForMs;
        this.writeDelayMs = writeDelayMs;
    }

    /** The authority over it. */
    public Authority authority() {
        return authority;
    }

    /** The age in milliseconds up to which decisions may rely on it; infinite for any age. */
    public double validForMs() {
        return validForMs;
    }

    /** The age in milliseconds up to which it is a hint; infinite for any age. */
    public double hintForMs() {
        return hintForMs;
    }

    /** Whether decisions may rely on it at any age, so that its age need not be kept up to date. */
    boolean validAtAnyAge() {
        return validForMs == Limits.ANY_AGE;
    }

    /** How long a change may wait to be written, in milliseconds. */
    double writeDelayMs() {
        return writeDelayMs;
    }

    /** Whether a change is written even if the budget of the minute is spent. */
    boolean urgent() {
        return writeDelayMs <= Limits.URGENT_DELAY_MS;
    }

    /**
     * How a record of this age in milliseconds may be used. If the age is negative (the record is from the future: a
     * clock was set back) or unknown (NaN), the record may only be used as at any age.
     */
    public Validity validity(double ageMs) {
        boolean ageKnown = ageMs >= 0;
        if (validAtAnyAge() || (ageKnown && ageMs <= validForMs)) {
            return Validity.VALID;
        }
        if (hintForMs == Limits.ANY_AGE || (ageKnown && ageMs <= hintForMs)) {
            return Validity.HINT;
        }
        return Validity.UNUSABLE;
    }

    /** Its name in state files, in the takeover's state and in reports. */
    public String wireName() {
        return wireName;
    }

    /** The kind of this name; empty for a kind that only a later version knows. */
    public static Optional<RecordKind> fromWireName(String wireName) {
        return Arrays.stream(values())
                .filter(k -> k.wireName().equals(wireName))
                .findFirst();
    }
}
