package cacheproxy.quota;

/**
 * What one request has been charged, for its end: held by whoever holds the request, and used for one at a time. One
 * that was not admitted, or has ended, is empty.
 */
public final class Ticket {
    static final int MOST = (QuotaSpec.MAX_DEPTH + 1) * QuotaSpec.MAX_LIMITS;

    QuotaNode leaf;
    double atMs;
    long bytes;
    boolean write;
    private final boolean[] own = new boolean[MOST];

    /** Whether something is charged by it. */
    public boolean open() {
        return leaf != null;
    }

    void own(int slot, boolean is) {
        own[slot] = is;
    }

    boolean own(int slot) {
        return own[slot];
    }
}
