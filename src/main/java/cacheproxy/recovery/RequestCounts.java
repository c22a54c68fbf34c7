package cacheproxy.recovery;

/**
 * Counts of an instance's requests since its start.
 *
 * @param received accepted requests
 * @param served those answered successfully
 * @param rejected those rejected
 */
public record RequestCounts(long received, long served, long rejected) {
    /** The counts since an earlier reading. */
    RequestCounts since(RequestCounts earlier) {
        return new RequestCounts(received - earlier.received, served - earlier.served, rejected - earlier.rejected);
    }
}
