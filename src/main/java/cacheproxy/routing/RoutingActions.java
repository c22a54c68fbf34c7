package cacheproxy.routing;

/**
 * Takes the orders of a {@link LoadBalancer}, to carry them out in their order at the time of the event. Times in
 * milliseconds.
 */
public interface RoutingActions {
    /**
     * Sends a request to an endpoint: its next attempt.
     *
     * @param timeoutMs after which the attempt ends with {@link AttemptOutcome#TIMEOUT}; 0 for the request's deadline
     */
    void send(int requestId, int endpointId, double timeoutMs);

    /**
     * The final answer: rejected, which promises that a repeat does no harm.
     *
     * @param retryAfterMs after which the client should repeat it; 0 for no advice
     */
    void reject(int requestId, double retryAfterMs);

    /** The final answer: failed, which promises nothing. */
    void fail(int requestId);

    /** Stops waiting for an attempt, which ends with {@link AttemptOutcome#CANCELLED}. */
    void cancel(int requestId, int attempt);

    /**
     * Asks for {@link LoadBalancer#onTimer}.
     *
     * @param afterMs 0 or more, from the time of the event
     * @param token comes back with the timer, unchanged
     */
    void setTimer(double afterMs, int token);

    /** Checks the health of an endpoint, which ends in {@link LoadBalancer#onHealthCheckResult}. */
    void checkHealth(int endpointId);

    /**
     * Closes those connections to an endpoint on which nothing is in flight. {@link CarpLoadBalancer} never orders it.
     */
    void closeIdle(int endpointId);

    /**
     * Sends bytes to another instance.
     *
     * @param peerIndex its index in the fleet, or -1 for all
     */
    void sendToPeer(int peerIndex, byte[] message);

    /** Subscribes to changes of the endpoint list, or ends the subscription. */
    void setWatch(boolean on);

    /** Asks for a snapshot of the endpoint list once. {@link CarpLoadBalancer} never orders it. */
    void fetchEndpointList();

    /** A line for the operators. */
    void log(String line);

    /**
     * What an attempt has shown of an endpoint, for those who judge zones and nodes by it. Of the origin: RESPONDED if
     * it answered within the latency objective, UNRESPONSIVE otherwise.
     */
    default void reportSignal(int endpointId, EndpointSignal what) {}
}
