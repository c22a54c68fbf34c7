package cacheproxy.route;

/**
 * Two routes that are equally specific and that one request could match.
 *
 * @param first the one that stands first in the configuration
 * @param second the other
 */
public record RouteConflict(Route first, Route second) {}
