package cacheproxy.failover;

/** What one instance sees of the cache nodes of a zone now; its place is its form on the wire. */
public enum Sight {
    /** Too little was sent there lately to say anything. */
    NONE,
    /** What is sent there is answered. */
    GOOD,
    /** A good part of what is sent there is not answered, or long overdue, at several of its nodes. */
    POOR,
    /** Several of its nodes in a row said nothing, and none has answered since. */
    LOST;

    private static final Sight[] ALL = values();

    static Sight of(int number) {
        return ALL[number & 3];
    }

    /** Whether it speaks against the zone. */
    boolean bad() {
        return this == POOR || this == LOST;
    }
}
