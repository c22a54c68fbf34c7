package cacheproxy.endpoints;

/** How old the endpoint list may become; what polling, its timeouts and its backoff are dimensioned by. */
public final class EndpointListFreshness {
    /**
     * A change has to be in use this long after discovery had it and could be polled, in milliseconds, whatever failed
     * before. From then on a request that the change forbids is a violation (rule 3 of the operators' terms).
     */
    public static final double MAX_STALENESS_MS = 6000;

    private EndpointListFreshness() {}
}
