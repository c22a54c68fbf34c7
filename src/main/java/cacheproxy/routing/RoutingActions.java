package cacheproxy.routing;

/**
 * The actions of a {@link LoadBalancer}. Implementations carry them out in call order, at the time of the event. Times
 * in milliseconds.
 */
public interface RoutingActions {
    /**
     * Sends the next attempt of a request to an endpoint.
     *
     * @param timeoutMs after which the attempt ends with {@link AttemptOutcome#TIMEOUT}; 0 for the request's deadline
     */
    void send(int requestId, int endpointId, double timeoutMs);

    /**
     * Rejects a request as its final answer, which guarantees that the client may safely retry it.
     *
     * @param retryAfterMs the delay after which the client should retry; 0 for no advice
     */
    void reject(int requestId, double retryAfterMs);

    /** Fails a request as its final answer: the request may have taken effect, so a retry may not be safe. */
    void fail(int requestId);

    /** Cancels an attempt, which then ends with {@link AttemptOutcome#CANCELLED}. */
    void cancel(int requestId, int attempt);

    /**
     * Schedules a call of {@link LoadBalancer#onTimer}.
     *
     * @param afterMs the delay from the time of the event, 0 or more
     * @param token passed back unchanged when the timer expires
     */
    void setTimer(double afterMs, int token);

    /** Starts a health check of an endpoint, whose result goes to {@link LoadBalancer#onHealthCheckResult}. */
    void checkHealth(int endpointId);

    /** Closes the idle connections to an endpoint. {@link CarpLoadBalancer} never calls this. */
    void closeIdle(int endpointId);

    /**
     * Sends a message to another instance.
     *
     * @param peerIndex the recipient's index in the fleet, or -1 for all instances
     */
    void sendToPeer(int peerIndex, byte[] message);

    /** Subscribes to changes of the endpoint list, or cancels the subscription. */
    void setWatch(boolean on);

    /** Requests one snapshot of the endpoint list. {@link CarpLoadBalancer} never calls this. */
    void fetchEndpointList();

    /** Writes a line to the log. */
    void log(String line);

    /**
     * What an attempt has shown of an endpoint, for those who judge zones and nodes by it. Of the origin: RESPONDED if
     * it answered within the latency objective, UNRESPONSIVE otherwise.
     */
    default void reportSignal(int endpointId, EndpointSignal signal) {}
}
