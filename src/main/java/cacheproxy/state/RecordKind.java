package cacheproxy.state;

import java.util.Arrays;
import java.util.Optional;

/**
 * What is kept, and how long it may be used as what. Ages are by the wall clock, which may have been set meanwhile: a
 * record from the future has no age that can be told, and only what needs none is used then. A clock that was set back
 * by less than the time away makes a record seem younger; so nothing that a rule rests on hangs on an age.
 */
public enum RecordKind {
    /** The number of this instance's life, which only goes up. Without it the first peer that contradicts tells it. */
    INCARNATION("incarnation", Authority.SELF, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0),
    /**
     * The list of servers with its version, as discovery told it: drains among it bind the next process as well. It
     * beats nothing that the configuration or discovery says with a higher version; a day later the nodes may be other
     * ones.
     */
    ENDPOINT_LIST("list", Authority.DISCOVERY, 60_000, 86_400_000, 100),
    /**
     * What the decision module has learnt of servers and the origin. A node that was bad a minute ago is doubted, not
     * avoided; what was good is never taken from here, nor whether a node is warm.
     */
    LEARNED_STATE("learnt", Authority.OBSERVED, 30_000, 600_000, 5000),
    /** Zones as decided on evidence: whether one is open is of the moment, its epoch never goes back. */
    ZONE_STATES("zones", Authority.FLEET, 60_000, Double.POSITIVE_INFINITY, 100),
    /** Zones as ordered by operators, until they take it back. */
    OPERATOR_ORDERS("orders", Authority.OPERATOR, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 100);

    private final String wireName;
    private final Authority authority;
    private final double validForMs;
    private final double hintForMs;
    private final double writeDelayMs;

    RecordKind(String wireName, Authority authority, double holdsMs, double hintMs, double gatherMs) {
        this.wireName = wireName;
        this.authority = authority;
        this.validForMs = holdsMs;
        this.hintForMs = hintMs;
        this.writeDelayMs = gatherMs;
    }

    /** Whose word it is. */
    public Authority authority() {
        return authority;
    }

    /** Up to this age, in milliseconds, it holds. */
    public double validForMs() {
        return validForMs;
    }

    /** Up to this age, in milliseconds, it is a hint. */
    public double hintForMs() {
        return hintForMs;
    }

    /** It need not be written sooner than so many milliseconds after it has changed. */
    public double writeDelayMs() {
        return writeDelayMs;
    }

    /** How far something of this kind may be used at this age in milliseconds; negative: it is from the future. */
    public Validity validity(double ageMs) {
        if (validForMs == Double.POSITIVE_INFINITY) {
            return Validity.VALID;
        }
        if (hintForMs == Double.POSITIVE_INFINITY) {
            return ageMs >= 0 && ageMs <= validForMs ? Validity.VALID : Validity.HINT;
        }
        return !(ageMs >= 0) || ageMs > hintForMs
                ? Validity.UNUSABLE
                : ageMs <= validForMs ? Validity.VALID : Validity.HINT;
    }

    /** How it is called in files. */
    public String wireName() {
        return wireName;
    }

    /** What is called so in files; empty for what a later version may know. */
    public static Optional<RecordKind> fromWireName(String wireName) {
        return Arrays.stream(values())
                .filter(k -> k.wireName().equals(wireName))
                .findFirst();
    }
}
