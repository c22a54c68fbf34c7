package cacheproxy.proxy.lifecycle;

import cacheproxy.route.KnownNames;
import cacheproxy.route.Routing;

/** Supplies the routes of an instance: at its start and again at each reload. */
public interface RouteSource {
    /**
     * Reads and checks all routes.
     *
     * @param known what routes may name
     * @throws IllegalArgumentException if they are of no use; its message is for operators
     */
    Routing read(KnownNames known);
}
