package cacheproxy.routing;

/**
 * A delay that doubles with each failure in a row, up to a cap. Has no jitter: who needs it multiplies.
 *
 * @param baseMs the delay after the first failure, in milliseconds
 * @param maxDoublings how often it doubles at most
 */
record ExponentialBackoff(double baseMs, int maxDoublings) {
    /** The delay in milliseconds after so many earlier failures in a row, 0 or more. */
    double delayMs(int earlierFailures) {
        return baseMs * (1 << Math.min(earlierFailures, maxDoublings));
    }
}
