package cacheproxy.routing;

/** Where the module's orders go. They are carried out in order, at the time of the event. */
public interface RoutingActions {
    /** Sends a request to a server; ended with {@link AttemptOutcome#TIMEOUT} if there is no answer within the time. */
    void send(int request, int server, double timeoutMs);

    /** Final answer: turned away, a retry is harmless. Advice 0: none. */
    void reject(int request, double retryAfterMs);

    /** Final answer: failed, nothing promised. */
    void fail(int request);

    /** Stops waiting for an attempt. */
    void cancel(int request, int attempt);

    /** Asks for {@link LoadBalancer#onTimer} after this time. */
    void setTimer(double afterMs, int token);

    /** Tests a server. */
    void checkHealth(int server);

    /** Ends those connections to a server on which nothing is under way. */
    void closeIdle(int server);

    /** Sends bytes to another instance; -1: to all. */
    void sendToPeer(int peer, byte[] message);

    /** Subscribes to changes of the list, or ends that. */
    void setWatch(boolean on);

    /** Asks for the whole list once. */
    void fetchEndpointList();

    /** A line for the operators. */
    void log(String line);

    /** Told of what the module has met, for those who judge zones and nodes by it. Of the origin: in time or not. */
    default void report(int server, EndpointSignal what) {}
}
