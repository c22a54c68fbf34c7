package cacheproxy.route;

/**
 * The state of a pool, for the section {@code routing} of the status.
 *
 * @param name its name; empty for the pool of all endpoints
 * @param readyEndpoints its endpoints to which requests may be sent
 * @param openRequests its requests that are owed an answer
 * @param draining whether the configuration no longer names it, so that it only finishes its open requests
 */
public record PoolStatus(String name, int readyEndpoints, int openRequests, boolean draining) {}
