package cacheproxy.route;

import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.routing.RoutingSettings;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** The endpoint list as a whole, with the attributes that pools select endpoints by. Not thread-safe. */
final class EndpointCatalog {
    private final Supplier<RoutingSettings> settings;
    private final Map<Integer, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<Integer, EndpointAttributes> attributes = new HashMap<>();

    EndpointCatalog(Supplier<RoutingSettings> settings) {
        this.settings = settings;
    }

    /** Sets the attributes of an endpoint, before the update that adds or changes it. */
    void putAttributes(int endpointId, EndpointAttributes value) {
        attributes.put(endpointId, value);
    }

    /** Applies an update of the list; a failed one changes nothing. */
    void apply(EndpointUpdateKind kind, List<Endpoint> changes) {
        if (kind == EndpointUpdateKind.FAILED) {
            return;
        }
        if (kind.isSnapshot()) {
            endpoints.clear();
        }
        for (Endpoint endpoint : changes) {
            if (endpoint.state() == EndpointState.REMOVED) {
                endpoints.remove(endpoint.id());
            } else {
                endpoints.put(endpoint.id(), endpoint);
            }
        }
        attributes.keySet().retainAll(endpoints.keySet());
    }

    /** All endpoints of the list. */
    List<Endpoint> snapshot() {
        return List.copyOf(endpoints.values());
    }

    /** The attributes of an endpoint; null if the list does not have it. */
    EndpointAttributes attributes(int endpointId) {
        return attributes.get(endpointId);
    }

    /** Whether this is the origin of a cache-aside deployment. */
    boolean isOrigin(Endpoint endpoint) {
        return settings.get().cacheAside() && endpoint.kind() == settings.get().originKind();
    }

    /** Whether an endpoint has started so recently that it is in slow start. */
    boolean isWarmingUp(double nowMs, int endpointId) {
        Endpoint endpoint = endpoints.get(endpointId);
        return endpoint != null
                && endpoint.startTimeMs() != 0
                && nowMs - endpoint.localStartTimeMs() < settings.get().warmUpMs();
    }
}
