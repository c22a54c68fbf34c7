package cacheproxy.recovery;

/**
 * Requests of an instance since its start.
 *
 * @param received requests that were taken
 * @param served of these, answered as asked
 * @param rejected of these, rejected
 */
public record RequestCounts(long received, long served, long rejected) {
    /** What was counted since an earlier reading. */
    RequestCounts since(RequestCounts earlier) {
        return new RequestCounts(received - earlier.received, served - earlier.served, rejected - earlier.rejected);
    }
}
