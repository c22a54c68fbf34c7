package cacheproxy.membership;

/** What an instance says of its own service. */
public enum Phase {
    /** It takes no requests yet. */
    STARTING,
    /** It serves what it can and learns the rest. */
    RECOVERING,
    /** It serves. */
    SERVING,
    /** It takes nothing new. */
    DRAINING
}
