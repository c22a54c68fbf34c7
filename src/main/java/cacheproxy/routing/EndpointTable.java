package cacheproxy.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints of the list. Ranked endpoints are those that are ready, in unsigned order of their ids, with the load
 * factors of the CARP draft, section 3.3. In a cache-aside deployment the origin is not ranked but kept separately.
 */
final class EndpointTable {
    private final Map<Integer, EndpointEntry> entries = new HashMap<>();
    private EndpointEntry[] ranked = new EndpointEntry[0];
    private EndpointEntry origin;
    private double totalWeight;

    /**
     * Applies an update of the list and updates the ranked endpoints.
     *
     * @throws IllegalArgumentException if an endpoint is listed twice, or has an invalid weight, zone or kind
     */
    void update(EndpointUpdateKind kind, List<Endpoint> endpoints, RoutingSettings settings) {
        check(endpoints, settings);
        if (kind.isSnapshot()) {
            Set<Integer> listed = new HashSet<>();
            endpoints.forEach(endpoint -> listed.add(endpoint.id()));
            entries.values().removeIf(entry -> !listed.contains(entry.id()));
        }
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() == EndpointState.REMOVED) {
                entries.remove(endpoint.id());
            } else {
                entries.computeIfAbsent(endpoint.id(), id -> new EndpointEntry(endpoint))
                        .update(endpoint);
            }
        }
        rank(settings);
    }

    private static void check(List<Endpoint> endpoints, RoutingSettings settings) {
        Set<Integer> seen = new HashSet<>();
        for (Endpoint e : endpoints) {
            String id = Integer.toUnsignedString(e.id());
            if (!seen.add(e.id())) {
                throw new IllegalArgumentException("endpoint " + id + " is listed twice");
            }
            if (!(e.weight() >= 0) || Float.isInfinite(e.weight())) {
                throw new IllegalArgumentException("endpoint " + id + " has invalid weight " + e.weight());
            }
            boolean validZone = e.zone() >= 0 && e.zone() < settings.zoneCount();
            boolean validKind = e.kind() >= 0 && e.kind() < settings.kindCount();
            if (!validZone || !validKind) {
                throw new IllegalArgumentException(
                        "endpoint " + id + " has zone " + e.zone() + " and kind " + e.kind() + " but the settings have "
                                + settings.zoneCount() + " zones and " + settings.kindCount() + " kinds");
            }
        }
    }

    /** Updates the ranked endpoints after a change of settings or entries. */
    void rank(RoutingSettings settings) {
        origin = null;
        List<EndpointEntry> ready = new ArrayList<>();
        for (EndpointEntry entry : entries.values()) {
            if (entry.endpoint().state() != EndpointState.READY) {
                continue;
            }
            if (settings.cacheAside() && entry.endpoint().kind() == settings.originKind()) {
                origin = entry;
            } else {
                ready.add(entry);
            }
        }
        ready.sort((a, b) -> Integer.compareUnsigned(a.id(), b.id()));
        ranked = ready.toArray(new EndpointEntry[0]);
        updateLoadFactors();
    }

    private void updateLoadFactors() {
        float[] weights = new float[ranked.length];
        double sum = 0;
        for (int i = 0; i < ranked.length; i++) {
            weights[i] = ranked[i].endpoint().weight();
            sum += weights[i];
        }
        totalWeight = sum;
        float[] loadFactors = CarpHash.multipliers(weights);
        for (int i = 0; i < ranked.length; i++) {
            ranked[i].rank(loadFactors[i], sum > 0 ? weights[i] / sum : 1.0 / ranked.length);
        }
    }

    /** The endpoint with this id in any state; null if the list has none, or the id is null. */
    EndpointEntry get(Integer id) {
        return entries.get(id);
    }

    /** All endpoints of the list, in any state. */
    Collection<EndpointEntry> all() {
        return entries.values();
    }

    /** The ranked endpoints; the array is not a copy and must not be modified. */
    EndpointEntry[] ranked() {
        return ranked;
    }

    /** The number of ranked endpoints. */
    int rankedCount() {
        return ranked.length;
    }

    /** The ready origin of a cache-aside deployment; null if there is none. */
    EndpointEntry origin() {
        return origin;
    }

    boolean isOrigin(EndpointEntry entry) {
        return entry == origin;
    }

    /** The total weight of the ranked endpoints. */
    double totalWeight() {
        return totalWeight;
    }
}
