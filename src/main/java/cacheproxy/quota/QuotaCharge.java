package cacheproxy.quota;

/**
 * What one request has been charged, for its end: held by whoever holds the request, and used for one at a time. One
 * that was not admitted, or has ended, is empty.
 */
public final class QuotaCharge {
    static final int MAX_METERS = (QuotaSpec.MAX_DEPTH + 1) * QuotaSpec.MAX_LIMITS;

    QuotaNode leaf;
    double atMs;
    long bytes;
    boolean write;
    private final boolean[] wasGuaranteed = new boolean[MAX_METERS];

    /** Whether something is charged by it. */
    public boolean isOpen() {
        return leaf != null;
    }

    void wasGuaranteed(int slot, boolean is) {
        wasGuaranteed[slot] = is;
    }

    boolean wasGuaranteed(int slot) {
        return wasGuaranteed[slot];
    }
}
