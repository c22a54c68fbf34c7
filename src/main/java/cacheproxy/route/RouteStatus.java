package cacheproxy.route;

/**
 * The counters of a route since it came into force, for the section {@code routing} of the status.
 *
 * @param name its name; empty for requests that no route matches
 * @param requests all that matched it
 * @param fallbacks those that moved to its fallback pool
 * @param rejected those that its policy rejected on arrival
 * @param throttledAttempts attempts that its policy did not allow
 */
public record RouteStatus(String name, long requests, long fallbacks, long rejected, long throttledAttempts) {}
