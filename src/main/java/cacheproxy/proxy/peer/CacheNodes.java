package cacheproxy.proxy.peer;

import java.util.OptionalInt;

/** The cache nodes of the endpoint list, as the outlier gossip needs them. */
public interface CacheNodes {
    /** The zone of a cache node; empty for the origin and for endpoints that are not on the list. */
    OptionalInt zoneOf(int endpointId);

    /** The number of cache nodes on the list in this zone. */
    int countInZone(int zone);
}
