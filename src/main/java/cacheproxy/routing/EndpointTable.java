package cacheproxy.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints of the list, and of these the ones that are ranked: ready, in the unsigned order of their ids, with the
 * load factors of the CARP draft, section 3.3. In a cache-aside deployment the origin is kept apart from them.
 */
final class EndpointTable {
    private final Map<Integer, EndpointEntry> entries = new HashMap<>();
    private EndpointEntry[] ranked = new EndpointEntry[0];
    private EndpointEntry origin;
    private double totalWeight;

    /**
     * Takes what the list says of endpoints and ranks anew.
     *
     * @throws IllegalArgumentException if an endpoint is listed twice, or has a weight, zone or kind that can't be
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
                throw new IllegalArgumentException("member " + id + " is listed twice");
            }
            if (!(e.weight() >= 0) || Float.isInfinite(e.weight())) {
                throw new IllegalArgumentException("member " + id + " has weight " + e.weight());
            }
            boolean validZone = e.zone() >= 0 && e.zone() < settings.zoneCount();
            boolean validKind = e.kind() >= 0 && e.kind() < settings.kindCount();
            if (!validZone || !validKind) {
                throw new IllegalArgumentException("member " + id + ": zone " + e.zone() + ", kind " + e.kind());
            }
        }
    }

    /** Ranks anew, after other settings or entries. */
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

    /** The endpoint of this id, ready or not; null if the list has none, or the id is null. */
    EndpointEntry get(Integer id) {
        return entries.get(id);
    }

    /** All of the list, whatever their state. */
    Collection<EndpointEntry> all() {
        return entries.values();
    }

    /** The ranked ones; the array is the table's own and is not to be written. */
    EndpointEntry[] ranked() {
        return ranked;
    }

    /** How many are ranked. */
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

    /** The weights of the ranked ones together. */
    double totalWeight() {
        return totalWeight;
    }
}
