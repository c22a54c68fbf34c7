package cacheproxy.gossip;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The last change of each endpoint received from discovery, in the order of versions, for peers that missed some of
 * them. Bounded: if entries had to be dropped, {@link #completeAfter} is the version after which no change is missing.
 */
final class ChangeLog {
    /** The maximum number of endpoints: four times the largest planned fleet. */
    static final int CAPACITY = 4096;

    private final Map<Integer, EndpointChange> byEndpoint = new LinkedHashMap<>();
    private long completeAfter;

    /** Removes all changes; only changes after this version will be added. */
    void clear(long version) {
        byEndpoint.clear();
        completeAfter = version;
    }

    /** Adds a change. Its version must not be lower than that of any change added before. */
    void add(EndpointChange change) {
        byEndpoint.remove(change.endpointId()); // re-inserted at the end
        byEndpoint.put(change.endpointId(), change);
        if (byEndpoint.size() > CAPACITY) {
            Iterator<EndpointChange> eldest = byEndpoint.values().iterator();
            completeAfter = eldest.next().version();
            eldest.remove();
        }
    }

    /** Returns the last change of an endpoint; null if none is known. */
    EndpointChange last(int endpointId) {
        return byEndpoint.get(endpointId);
    }

    /** Returns the version up to which, inclusive, changes may be missing; no later change is missing. */
    long completeAfter() {
        return completeAfter;
    }

    /** Returns the changes of versions after this one, newest last. */
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
