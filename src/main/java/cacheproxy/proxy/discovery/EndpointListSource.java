package cacheproxy.proxy.discovery;

/** Where the endpoint list comes from, as the load balancer commands it. On the event loop only. */
public interface EndpointListSource {
    /** Begins to follow the list, by new polls, or ends to. */
    void setWatch(boolean on);

    /** Requests the complete list, in place of whatever is held, and follows it from there. */
    void fetchSnapshot();
}
