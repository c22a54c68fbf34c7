package cacheproxy.failover;

/** The health of a zone's cache nodes as observed by one instance; ordered from good to bad. */
public enum ZoneHealth {
    /** Too few recent attempts to tell. */
    UNKNOWN(0),
    /** Attempts receive responses. */
    HEALTHY(1),
    /** A considerable part of attempts, at several nodes, receives no response in time. */
    DEGRADED(2),
    /** Several nodes in a row did not respond, and no node has responded since. */
    UNREACHABLE(3);

    private final int code;

    ZoneHealth(int code) {
        this.code = code;
    }

    /** Its code on the wire, in two bits. */
    int code() {
        return code;
    }

    /** The constant of the code in the lowest two bits. */
    static ZoneHealth of(int bits) {
        return switch (bits & 3) {
            case 0 -> UNKNOWN;
            case 1 -> HEALTHY;
            case 2 -> DEGRADED;
            default -> UNREACHABLE;
        };
    }

    /** Whether it is evidence against the zone. */
    boolean isFaulty() {
        return this == DEGRADED || this == UNREACHABLE;
    }
}
