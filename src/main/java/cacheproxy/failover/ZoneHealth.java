package cacheproxy.failover;

/** The health of a zone's cache nodes, as one instance observes it; ordered from good to bad. */
public enum ZoneHealth {
    /** Too few attempts went there lately to tell. */
    UNKNOWN(0),
    /** Attempts get responses. */
    HEALTHY(1),
    /** A good part of attempts, at several nodes, gets no response in time. */
    DEGRADED(2),
    /** Several nodes in a row did not respond, and none has responded since. */
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
