package cacheproxy.recovery;

/**
 * What an instance has done since its start, as far as recovery looks at it.
 *
 * @param received requests that were taken
 * @param served of these, served
 * @param rejected of these, refused
 */
public record RequestCounts(long received, long served, long rejected) {
    /** The difference to an earlier one. */
    RequestCounts since(RequestCounts earlier) {
        return new RequestCounts(received - earlier.received, served - earlier.served, rejected - earlier.rejected);
    }
}
