package cacheproxy.state;

import java.util.Arrays;
import java.util.Optional;

/**
 * The kinds of stored records. For each it says here, and nowhere else, who vouches for it, up to which age a process
 * that starts may use it, and how long a change may wait to be written (docs/design/state.md has the table with the
 * reasons).
 *
 * <p>A clock that was set back by less than the time since the record was made makes the record seem younger than it
 * is; so no safety rule rests on an age.
 */
public enum RecordKind {
    /**
     * The incarnation number of this instance in the membership protocol, which only goes up. Without it the first peer
     * that contradicts tells the number.
     */
    INCARNATION("incarnation", Authority.SELF, Limits.ANY_AGE, Limits.ANY_AGE, 0),
    /**
     * The endpoint list with its version, as discovery sent it; the draining endpoints in it bind the next process as
     * well. A process that starts uses it until discovery answers, also while it is only a hint: what drains in it
     * stays draining, and no node comes back by it. A higher version from the configuration or from discovery goes
     * before it. After a day the nodes may be other ones.
     */
    ENDPOINT_LIST("list", Authority.DISCOVERY, Limits.MINUTE_MS, Limits.DAY_MS, Limits.URGENT_DELAY_MS),
    /**
     * What the load balancer has learned of endpoints and the origin. An endpoint that failed a minute ago is
     * suspected, not avoided; that an endpoint was healthy or warm is never taken from here.
     */
    LEARNED_STATE("learnt", Authority.OBSERVED, Limits.MINUTE_MS / 2, 10 * Limits.MINUTE_MS, Limits.BATCH_DELAY_MS),
    /**
     * Zone states decided on evidence. Whether a zone is open is a matter of the moment, but its epoch never goes back,
     * so it stays a hint at any age.
     */
    ZONE_STATES("zones", Authority.FLEET, Limits.MINUTE_MS, Limits.ANY_AGE, Limits.URGENT_DELAY_MS),
    /** Zone states ordered by operators, which hold until operators revoke them. */
    OPERATOR_ORDERS("orders", Authority.OPERATOR, Limits.ANY_AGE, Limits.ANY_AGE, Limits.URGENT_DELAY_MS);

    /** The limits that the kinds are declared by; ages and delays in milliseconds. */
    private static final class Limits {
        static final double ANY_AGE = Double.POSITIVE_INFINITY;
        static final double MINUTE_MS = 60_000;
        static final double DAY_MS = 86_400_000;
        /** A change that may wait no longer than this is written however much was written before it. */
        static final double URGENT_DELAY_MS = 100;
        /** Learned state changes with each request; losing some seconds of it costs little. */
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

    /** Who vouches for it. */
    public Authority authority() {
        return authority;
    }

    /** Up to this age in milliseconds decisions may rest on it; infinite: at any age. */
    public double validForMs() {
        return validForMs;
    }

    /** Up to this age in milliseconds it is a hint; infinite: at any age. */
    public double hintForMs() {
        return hintForMs;
    }

    /** Whether decisions may rest on it at any age, so that its age need not be kept up to date. */
    boolean validAtAnyAge() {
        return validForMs == Limits.ANY_AGE;
    }

    /** A change need not be written sooner than so many milliseconds after it was made. */
    double writeDelayMs() {
        return writeDelayMs;
    }

    /** Whether a change is written even when the budget of the minute is spent. */
    boolean urgent() {
        return writeDelayMs <= Limits.URGENT_DELAY_MS;
    }

    /**
     * How far a record of this age in milliseconds may be used. One with a negative age (from the future: a clock was
     * set back) or none (NaN) is used only as far as it could be at any age.
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

    /** The kind of this name; empty for one that only a later version knows. */
    public static Optional<RecordKind> fromWireName(String wireName) {
        return Arrays.stream(values())
                .filter(k -> k.wireName().equals(wireName))
                .findFirst();
    }
}
