package cacheproxy.recovery;

/**
 * What an instance has done since its start, as far as recovery looks at it.
 *
 * @param asked requests that were taken
 * @param served of these, served
 * @param refused of these, refused
 */
public record Sample(long asked, long served, long refused) {
    /** The difference to an earlier one. */
    Sample since(Sample earlier) {
        return new Sample(asked - earlier.asked, served - earlier.served, refused - earlier.refused);
    }
}
