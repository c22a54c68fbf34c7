package cacheproxy.failover;

/** What one instance sees of the cache nodes of a zone now. */
public enum ZoneHealth {
    /** Too little was sent there lately to say anything. */
    UNKNOWN(0),
    /** What is sent there is answered. */
    HEALTHY(1),
    /** A good part of what is sent there is not answered, or long overdue, at several of its nodes. */
    DEGRADED(2),
    /** Several of its nodes in a row said nothing, and none has answered since. */
    UNREACHABLE(3);

    private final int code;

    ZoneHealth(int code) {
        this.code = code;
    }

    /** Its code on the wire, in two bits. */
    int code() {
        return code;
    }

    /** The one whose code stands in the lowest two bits. */
    static ZoneHealth of(int bits) {
        return switch (bits & 3) {
            case 0 -> UNKNOWN;
            case 1 -> HEALTHY;
            case 2 -> DEGRADED;
            default -> UNREACHABLE;
        };
    }

    /** Whether it speaks against the zone. */
    boolean isFaulty() {
        return this == DEGRADED || this == UNREACHABLE;
    }
}
