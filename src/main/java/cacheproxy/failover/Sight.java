package cacheproxy.failover;

/** What one instance sees of the cache nodes of a zone now. */
public enum Sight {
    /** Too little was sent there lately to say anything. */
    NONE(0),
    /** What is sent there is answered. */
    GOOD(1),
    /** A good part of what is sent there is not answered, or long overdue, at several of its nodes. */
    POOR(2),
    /** Several of its nodes in a row said nothing, and none has answered since. */
    LOST(3);

    private final int code;

    Sight(int code) {
        this.code = code;
    }

    /** Its code on the wire, in two bits. */
    int code() {
        return code;
    }

    /** The one whose code stands in the lowest two bits. */
    static Sight of(int bits) {
        return switch (bits & 3) {
            case 0 -> NONE;
            case 1 -> GOOD;
            case 2 -> POOR;
            default -> LOST;
        };
    }

    /** Whether it speaks against the zone. */
    boolean bad() {
        return this == POOR || this == LOST;
    }
}
