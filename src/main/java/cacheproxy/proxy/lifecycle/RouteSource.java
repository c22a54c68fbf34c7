package cacheproxy.proxy.lifecycle;

import cacheproxy.route.KnownNames;
import cacheproxy.route.Routing;

/** Supplies the routes of an instance, at its start and at each reload. */
public interface RouteSource {
    /**
     * Reads and checks all routes.
     *
     * @param known the names that routes may refer to
     * @throws IllegalArgumentException if they are invalid; its message is for operators
     */
    Routing read(KnownNames known);
}
