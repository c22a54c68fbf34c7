package cacheproxy.proxy.discovery;

/** Where the decision module's calls for the list of servers go. */
public interface EndpointListSource {
    /** Subscribes to changes, or ends that. */
    void setWatch(boolean on);

    /** Asks for the whole list once. */
    void fetchSnapshot();
}
