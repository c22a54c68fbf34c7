package cacheproxy.control;

import cacheproxy.route.PoolStatus;
import cacheproxy.route.RouteStatus;
import cacheproxy.route.Router;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Comparator;

/** The section {@code routing} of the status: the pools, and the routes with the most requests. */
final class RoutingSection {
    /** The maximum number of pools, and of routes, shown. */
    private static final int MAX_SHOWN = 50;

    private RoutingSection() {}

    static JsonObject toJson(Router router) {
        JsonObject section = new JsonObject();
        section.addProperty("version", router.version());
        section.addProperty("hash", router.routing().hash());
        JsonArray pools = new JsonArray();
        router.pools().stream().limit(MAX_SHOWN).forEach(pool -> pools.add(toJson(pool)));
        section.add("pools", pools);
        JsonArray routes = new JsonArray();
        router.routes().stream()
                .sorted(Comparator.comparingLong(RouteStatus::requests).reversed())
                .limit(MAX_SHOWN)
                .forEach(route -> routes.add(toJson(route)));
        section.add("routes", routes);
        return section;
    }

    private static JsonObject toJson(PoolStatus pool) {
        JsonObject row = new JsonObject();
        row.addProperty("pool", pool.name().isEmpty() ? "all servers" : pool.name());
        row.addProperty("servers", pool.readyEndpoints());
        row.addProperty("open", pool.openRequests());
        if (pool.draining()) {
            row.addProperty("leaving", true);
        }
        return row;
    }

    private static JsonObject toJson(RouteStatus route) {
        JsonObject row = new JsonObject();
        row.addProperty("route", route.name().isEmpty() ? "no route" : route.name());
        row.addProperty("requests", route.requests());
        row.addProperty("fallbacks", route.fallbacks());
        row.addProperty("turned_away", route.rejected());
        row.addProperty("held_back", route.throttledAttempts());
        return row;
    }
}
