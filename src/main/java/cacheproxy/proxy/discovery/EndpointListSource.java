package cacheproxy.proxy.discovery;

/** The source of the endpoint list, controlled by the load balancer. On the event loop only. */
public interface EndpointListSource {
    /** Starts to follow the list, with new polls, or stops. */
    void setWatch(boolean on);

    /** Requests the complete list, in place of the one held, and follows it from then on. */
    void fetchSnapshot();
}
