package cacheproxy.route;

/**
 * The state of a pool, for the section {@code routing} of the status.
 *
 * @param name its name; empty for the pool of all endpoints
 * @param readyEndpoints its endpoints that may be sent requests
 * @param openRequests requests that it has and that are owed an answer
 * @param draining whether the configuration names it no more, and it only finishes its open requests
 */
public record PoolStatus(String name, int readyEndpoints, int openRequests, boolean draining) {}
