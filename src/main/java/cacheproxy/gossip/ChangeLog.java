package cacheproxy.gossip;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The last change of each endpoint that discovery has sent, in the order of versions, for peers that have missed them.
 * Bounded: where it had no room, {@link #completeAfter} says from which version on nothing is missing.
 */
final class ChangeLog {
    /** Endpoints whose last change is held: four times the largest fleet that is planned for. */
    static final int CAPACITY = 4096;

    private final Map<Integer, EndpointChange> byEndpoint = new LinkedHashMap<>();
    private long completeAfter;

    /** Drops all changes; those after this version will be added. */
    void clear(long version) {
        byEndpoint.clear();
        completeAfter = version;
    }

    /** Adds a change whose version is not lower than that of any before. */
    void add(EndpointChange change) {
        byEndpoint.remove(change.endpointId()); // so that it goes to the end
        byEndpoint.put(change.endpointId(), change);
        if (byEndpoint.size() > CAPACITY) {
            Iterator<EndpointChange> eldest = byEndpoint.values().iterator();
            completeAfter = eldest.next().version();
            eldest.remove();
        }
    }

    /** The last change of an endpoint; null if none is known. */
    EndpointChange last(int endpointId) {
        return byEndpoint.get(endpointId);
    }

    /** Changes of this version and older ones may be missing; none of a later one is. */
    long completeAfter() {
        return completeAfter;
    }

    /** The changes of versions after this one, the newest last. */
    List<EndpointChange> after(long version) {
        List<EndpointChange> changes = new ArrayList<>();
        for (EndpointChange change : byEndpoint.values()) {
            if (change.version() > version) {
                changes.add(change);
            }
        }
        return changes;
    }
}
