package cacheproxy.proxy.peer;

import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.routing.LearnedState;
import java.util.Map;

/** What the state query needs of the core: learned state to answer with and to adopt. Event loop only. */
public interface LearnedStateAccess {
    /** What the load balancer of all endpoints has learned; null where there are pools alone. */
    LearnedState learnedState();

    /** Has the load balancer of all endpoints go on from this state. */
    void resume(LearnedState learned);

    /** Where the state in use came from. */
    ProvenanceTracker provenance();

    /** Whether the load balancer sends an endpoint no requests for now, as it failed. */
    boolean isAvoided(int endpointId);

    /** When the process of an endpoint on the list has started, Unix time in milliseconds. */
    double startTimeMs(int endpointId);

    /** The cache nodes on the list, each with its zone. */
    Map<Integer, Integer> zonesOfCacheNodes();

    /** Logs an event. */
    void log(String text);
}
