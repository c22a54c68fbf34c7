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
    INCARNATION("incarnation", Authority.SELF, ValidityPeriod.UNLIMITED, 0),
    /**
     * The endpoint list with its version, as discovery sent it; the draining endpoints in it bind the next process as
     * well. A higher version from the configuration or from discovery goes before it. After a day the nodes may be
     * other ones.
     */
    ENDPOINT_LIST(
            "list",
            Authority.DISCOVERY,
            new ValidityPeriod(RecordKind.MINUTE_MS, RecordKind.DAY_MS),
            RecordKind.URGENT_MS),
    /**
     * What the load balancer has learned of endpoints and the origin. An endpoint that failed a minute ago is
     * suspected, not avoided; that an endpoint was healthy or warm is never taken from here.
     */
    LEARNED_STATE(
            "learnt",
            Authority.OBSERVED,
            new ValidityPeriod(RecordKind.MINUTE_MS / 2, 10 * RecordKind.MINUTE_MS),
            RecordKind.GATHER_MS),
    /**
     * Zone states decided on evidence. Whether a zone is open is a matter of the moment, but its epoch never goes back,
     * so it stays a hint at any age.
     */
    ZONE_STATES(
            "zones",
            Authority.FLEET,
            new ValidityPeriod(RecordKind.MINUTE_MS, Double.POSITIVE_INFINITY),
            RecordKind.URGENT_MS),
    /** Zone states ordered by operators, which hold until operators revoke them. */
    OPERATOR_ORDERS("orders", Authority.OPERATOR, ValidityPeriod.UNLIMITED, RecordKind.URGENT_MS);

    /** A change of a kind that may wait no longer than this is written whatever was written before it. */
    static final double URGENT_MS = 100;

    private static final double MINUTE_MS = 60_000;
    private static final double DAY_MS = 86_400_000;
    /** Learned state changes with each request; losing some seconds of it costs little. */
    private static final double GATHER_MS = 5000;

    private final String wireName;
    private final Authority authority;

    @SuppressWarnings("ImmutableEnumChecker") // a record of two numbers
    private final ValidityPeriod validityPeriod;

    private final double writeDelayMs;

    RecordKind(String wireName, Authority authority, ValidityPeriod validityPeriod, double writeDelayMs) {
        this.wireName = wireName;
        this.authority = authority;
        this.validityPeriod = validityPeriod;
        this.writeDelayMs = writeDelayMs;
    }

    /** Who vouches for it. */
    public Authority authority() {
        return authority;
    }

    /** Up to this age in milliseconds decisions may rest on it; infinite: at any age. */
    public double validForMs() {
        return validityPeriod.validForMs();
    }

    /** Up to this age in milliseconds it is a hint; infinite: at any age. */
    public double hintForMs() {
        return validityPeriod.hintForMs();
    }

    /** Whether a record of this kind may be used at any age, so that its age need not be kept up to date. */
    boolean ageless() {
        return validityPeriod.unlimited();
    }

    /** A change need not be written sooner than so many milliseconds after it was made. */
    double writeDelayMs() {
        return writeDelayMs;
    }

    /** Whether a change is written even when the budget of the minute is spent. */
    boolean urgent() {
        return writeDelayMs <= URGENT_MS;
    }

    /** How far a record of this age in milliseconds may be used; negative: it is from the future. */
    public Validity validity(double ageMs) {
        return validityPeriod.at(ageMs);
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
