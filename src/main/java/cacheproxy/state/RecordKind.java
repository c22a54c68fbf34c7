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
    LIST("list", Authority.DISCOVERY, 60_000, 86_400_000, 100),
    /**
     * What the decision module has learnt of servers and the origin. A node that was bad a minute ago is doubted, not
     * avoided; what was good is never taken from here, nor whether a node is warm.
     */
    LEARNT("learnt", Authority.SEEN, 30_000, 600_000, 5000),
    /** Zones as decided on evidence: whether one is open is of the moment, its epoch never goes back. */
    ZONES("zones", Authority.FLEET, 60_000, Double.POSITIVE_INFINITY, 100),
    /** Zones as ordered by operators, until they take it back. */
    ORDERS("orders", Authority.OPERATOR, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 100);

    private final String wireName;
    private final Authority authority;
    private final double holdsMs;
    private final double hintMs;
    private final double gatherMs;

    RecordKind(String wireName, Authority authority, double holdsMs, double hintMs, double gatherMs) {
        this.wireName = wireName;
        this.authority = authority;
        this.holdsMs = holdsMs;
        this.hintMs = hintMs;
        this.gatherMs = gatherMs;
    }

    /** Whose word it is. */
    public Authority authority() {
        return authority;
    }

    /** Up to this age, in milliseconds, it holds. */
    public double holdsMs() {
        return holdsMs;
    }

    /** Up to this age, in milliseconds, it is a hint. */
    public double hintMs() {
        return hintMs;
    }

    /** It need not be written sooner than so many milliseconds after it has changed. */
    public double gatherMs() {
        return gatherMs;
    }

    /** How far something of this kind may be used at this age in milliseconds; negative: it is from the future. */
    public Validity use(double ageMs) {
        if (holdsMs == Double.POSITIVE_INFINITY) {
            return Validity.HOLDS;
        }
        if (hintMs == Double.POSITIVE_INFINITY) {
            return ageMs >= 0 && ageMs <= holdsMs ? Validity.HOLDS : Validity.HINT;
        }
        return !(ageMs >= 0) || ageMs > hintMs ? Validity.NOTHING : ageMs <= holdsMs ? Validity.HOLDS : Validity.HINT;
    }

    /** How it is called in files. */
    public String wireName() {
        return wireName;
    }

    /** What is called so in files; empty for what a later version may know. */
    public static Optional<RecordKind> of(String wireName) {
        return Arrays.stream(values())
                .filter(k -> k.wireName().equals(wireName))
                .findFirst();
    }
}
