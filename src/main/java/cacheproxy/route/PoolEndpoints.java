package cacheproxy.route;

import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The endpoints of one pool: selects those of the endpoint list that belong to it, and knows which are ready. The
 * origin is never counted as one of them.
 */
final class PoolEndpoints {
    private final EndpointCatalog catalog;
    private final boolean ofAllEndpoints;
    /** By id, whether the endpoint may be sent requests. */
    private final Map<Integer, Boolean> readiness = new HashMap<>();

    PoolEndpoints(EndpointCatalog catalog, boolean ofAllEndpoints) {
        this.catalog = catalog;
        this.ofAllEndpoints = ofAllEndpoints;
    }

    /**
     * The part of a list update that concerns the pool: its own endpoints with their weight in the pool, and as removed
     * those that have left it.
     */
    List<Endpoint> update(Pool pool, EndpointUpdateKind kind, List<Endpoint> changes) {
        List<Endpoint> own = select(pool, changes);
        if (kind.isSnapshot()) {
            readiness.clear();
        }
        for (Endpoint endpoint : own) {
            if (endpoint.state() == EndpointState.REMOVED) {
                readiness.remove(endpoint.id());
            } else if (!catalog.isOrigin(endpoint)) {
                readiness.put(endpoint.id(), endpoint.state() == EndpointState.READY);
            }
        }
        return own;
    }

    private List<Endpoint> select(Pool pool, List<Endpoint> changes) {
        List<Endpoint> own = new ArrayList<>();
        for (Endpoint endpoint : changes) {
            EndpointAttributes attributes = catalog.attributes(endpoint.id());
            if (attributes != null && belongs(pool, endpoint, attributes)) {
                own.add(with(endpoint, endpoint.state(), pool.weight(attributes, endpoint.weight())));
            } else if (ofAllEndpoints || catalog.isOrigin(endpoint) || contains(endpoint.id())) {
                own.add(with(endpoint, EndpointState.REMOVED, endpoint.weight()));
            }
        }
        return own;
    }

    private boolean belongs(Pool pool, Endpoint endpoint, EndpointAttributes attributes) {
        return ofAllEndpoints || (catalog.isOrigin(endpoint) ? pool.origin() : pool.selects(attributes));
    }

    private static Endpoint with(Endpoint endpoint, EndpointState state, float weight) {
        return state == endpoint.state() && weight == endpoint.weight()
                ? endpoint
                : new Endpoint(
                        endpoint.id(),
                        endpoint.zone(),
                        endpoint.kind(),
                        endpoint.cell(),
                        state,
                        weight,
                        endpoint.startTimeMs(),
                        endpoint.localStartTimeMs());
    }

    boolean contains(int endpointId) {
        return readiness.containsKey(endpointId);
    }

    boolean hasReady() {
        return readiness.containsValue(true);
    }

    int readyCount() {
        return (int) readiness.values().stream().filter(ready -> ready).count();
    }
}
