package cacheproxy.routing;

import java.util.List;
import java.util.Map;

/**
 * Decides which endpoint serves a request, and whether to retry, hedge, coalesce or reject it. Takes events, gives
 * orders to {@link RoutingActions}, and does nothing else: no socket, file, thread or clock.
 *
 * <p>Events come one at a time, each with the time at which it happened, in milliseconds of a clock that never goes
 * back; orders are given before the method returns. Not thread-safe. The same settings, seed and events give the same
 * orders. Ids of requests, endpoints and peers are chosen by the caller; an attempt is named by its request and its
 * index, which counts the request's {@link RoutingActions#send} orders from 0.
 */
public interface LoadBalancer {

    /** {@link AttemptEnd#note} of a miss: another proxy is fetching the object, so it will be there soon. */
    int NOTE_FETCH_IN_FLIGHT = 3;

    /**
     * Other settings hold from now on, for requests to come. Pending ones keep their class and its terms; of attempts
     * they get no more than either allows. What has been learned of endpoints stays.
     *
     * @throws IllegalArgumentException if the settings have no class or allow no attempt; the earlier ones hold then
     */
    void onSettings(double nowMs, RoutingSettings settings, RoutingActions out);

    /**
     * Whether an endpoint of the list gets no ordinary request now, because it drains or is ejected.
     *
     * @param endpointId the endpoint's id; one that the list doesn't have is not avoided
     */
    boolean isAvoided(double nowMs, int endpointId);

    /** What has been learned so far, by the pool's name; that of all endpoints is the empty string. */
    Map<String, LearnedState> learnedState(double nowMs);

    /**
     * Goes on where another instance left off. Of endpoints that are not in the list, or have started since, nothing is
     * taken.
     *
     * @param states as from {@link #learnedState}; pools that this instance doesn't have are passed over
     */
    void restore(double nowMs, Map<String, LearnedState> states);

    /**
     * Entries of the endpoint list, or a failed call for it.
     *
     * @param kind what the entries are
     * @param endpoints the entries; none if the call failed
     * @throws IllegalArgumentException if an endpoint is named twice, or has a weight, zone or kind that can't be
     */
    void onEndpointUpdate(double nowMs, EndpointUpdateKind kind, List<Endpoint> endpoints, RoutingActions out);

    /**
     * A client's request has arrived. The instance now owes exactly one final answer: {@link RoutingActions#reject},
     * {@link RoutingActions#fail}, or an attempt that ends with {@link AttemptEnd#requestCompleted}.
     *
     * @throws IllegalArgumentException if its class or tenant is not in the settings
     */
    void onRequest(double nowMs, Request request, RoutingActions out);

    /** The first byte of an answer that is streamed has come; the request gets no other answer. */
    void onFirstByte(double nowMs, int requestId, int attempt, int endpointId, RoutingActions out);

    /** An attempt has ended. Each ends once; others are ignored. */
    void onAttemptEnd(double nowMs, AttemptEnd end, RoutingActions out);

    /** The client has disconnected; no answer is owed. */
    void onClientDisconnected(double nowMs, int requestId, RoutingActions out);

    /**
     * A timer has come due.
     *
     * @param token as given to {@link RoutingActions#setTimer}
     */
    void onTimer(double nowMs, int token, RoutingActions out);

    /**
     * The result of a health check.
     *
     * @param outcome OK if the endpoint answered
     * @param elapsedMs how long it took
     * @param report the endpoint's load report, its values in the order of the settings' fields; null if there is none
     */
    void onHealthCheckResult(
            double nowMs, int endpointId, AttemptOutcome outcome, double elapsedMs, float[] report, RoutingActions out);

    /**
     * A message of another instance.
     *
     * @param peerIndex its index in the fleet
     * @param message bytes as given to {@link RoutingActions#sendToPeer}; what can't be read is ignored
     */
    void onPeerMessage(double nowMs, int peerIndex, byte[] message, RoutingActions out);

    /**
     * The fleet sends zones so much of their traffic from now on; nothing changes for others.
     *
     * @param directives one for each zone that changes
     */
    void onZoneDirectives(double nowMs, List<ZoneDirective> directives, RoutingActions out);
}
