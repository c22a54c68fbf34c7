package cacheproxy.proxy.peer;

import java.util.OptionalInt;

/** The cache nodes of the endpoint list, as gossip about them needs them. */
public interface CacheNodes {
    /** The zone of a cache node; empty for the origin and for what is not on the list. */
    OptionalInt zoneOf(int endpointId);

    /** How many cache nodes of the list stand in this zone. */
    int countInZone(int zone);
}
