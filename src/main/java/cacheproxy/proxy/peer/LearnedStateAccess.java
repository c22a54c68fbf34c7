package cacheproxy.proxy.peer;

import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.routing.LearnedState;
import java.util.Map;

/** Access to the core's learned state, to answer state queries and to adopt their result. On the event loop only. */
public interface LearnedStateAccess {
    /** The learned state of the load balancer of all endpoints; null if there are only those of pools. */
    LearnedState learnedState();

    /** Restores this state into the load balancer of all endpoints. */
    void resume(LearnedState learned);

    /** The tracker of the sources of the state in use. */
    ProvenanceTracker provenance();

    /** Whether the load balancer currently avoids an endpoint because of failures. */
    boolean isAvoided(int endpointId);

    /** The start time of the process of an endpoint on the list, Unix time in milliseconds. */
    double startTimeMs(int endpointId);

    /** The cache nodes on the list, each with its zone. */
    Map<Integer, Integer> zonesOfCacheNodes();

    /** Logs an event. */
    void log(String text);
}
