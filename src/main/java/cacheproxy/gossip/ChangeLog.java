package cacheproxy.gossip;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The last change of each server that discovery has told, in the order of the versions, for peers that were not told
 * yet. Bounded: what it has had no room for is told by {@link #completeAfter}.
 */
final class ChangeLog {
    /** Servers whose last change is kept: four times the largest fleet that is planned for. */
    static final int CAPACITY = 4096;

    private final Map<Integer, EndpointChange> byEndpoint = new LinkedHashMap<>();
    private long completeAfter;

    /** Begins anew: whatever comes after this version will be in it. */
    void clear(long version) {
        byEndpoint.clear();
        completeAfter = version;
    }

    /** Adds a change of no older version than those that it holds. */
    void add(EndpointChange change) {
        byEndpoint.remove(change.endpointId()); // so that it goes to the end
        byEndpoint.put(change.endpointId(), change);
        if (byEndpoint.size() > CAPACITY) {
            Iterator<EndpointChange> eldest = byEndpoint.values().iterator();
            completeAfter = eldest.next().version();
            eldest.remove();
        }
    }

    /** The last change of a server; null if none is known. */
    EndpointChange last(int server) {
        return byEndpoint.get(server);
    }

    /** What is missing from it are changes of this version and older ones. */
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
