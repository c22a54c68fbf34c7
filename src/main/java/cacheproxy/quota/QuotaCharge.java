package cacheproxy.quota;

/**
 * What one request has been charged along its path, to be refunded or settled at its end. Empty unless the request was
 * admitted and has not ended; may be reused for one request after another. Owned by whoever owns the request.
 */
public final class QuotaCharge {
    static final int MAX_METERS = (QuotaSpec.MAX_DEPTH + 1) * QuotaSpec.MAX_LIMITS;

    QuotaNode leaf;
    double chargedMs;
    long bytes;
    boolean write;
    /** By meter, from the leaf up: whether it was charged to the guarantee. */
    private final boolean[] guaranteed = new boolean[MAX_METERS];

    /** Whether something is charged by it. */
    public boolean isOpen() {
        return leaf != null;
    }

    void setGuaranteed(int meter, boolean value) {
        guaranteed[meter] = value;
    }

    boolean isGuaranteed(int meter) {
        return guaranteed[meter];
    }
}
