package cacheproxy.endpoints;

/**
 * The maximum staleness of the endpoint list, from which the intervals, timeouts and backoff of polling are derived.
 */
public final class EndpointListFreshness {
    /**
     * The time in milliseconds within which a change has to be in use once discovery has it and can be polled, whatever
     * failed before. Afterwards, a request that the change forbids is a violation (rule 3 of the operators' terms).
     */
    public static final double MAX_STALENESS_MS = 6000;

    private EndpointListFreshness() {}
}
