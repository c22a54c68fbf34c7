package cacheproxy.recovery;

/**
 * What an instance has done since its start, as far as recovery looks at it.
 *
 * @param asked requests that were taken
 * @param served of these, served
 * @param refused of these, refused
 */
public record RequestCounts(long asked, long served, long refused) {
    /** The difference to an earlier one. */
    RequestCounts since(RequestCounts earlier) {
        return new RequestCounts(asked - earlier.asked, served - earlier.served, refused - earlier.refused);
    }
}
