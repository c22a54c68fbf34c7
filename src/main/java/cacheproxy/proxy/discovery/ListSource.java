package cacheproxy.proxy.discovery;

/** Where the decision module's calls for the list of servers go. */
public interface ListSource {
    /** Subscribes to changes, or ends that. */
    void watch(boolean on);

    /** Asks for the whole list once. */
    void fetch();
}
