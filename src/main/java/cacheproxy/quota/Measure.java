package cacheproxy.quota;

/** What a quota counts. */
public enum Measure {
    /** Requests, reads and writes alike. */
    REQUESTS,
    /** Bytes of values in either direction. How many is known only afterwards: see {@link QuotaTree#settle}. */
    BYTES,
    /** Writes. */
    WRITES;

    /** How much of this one request is, by what is known when it comes. */
    long of(long bytes, boolean write) {
        return switch (this) {
            case REQUESTS -> 1;
            case BYTES -> bytes;
            case WRITES -> write ? 1 : 0;
        };
    }
}
