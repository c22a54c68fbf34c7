package cacheproxy.routing;

import java.util.List;
import java.util.Map;

/**
 * Decides which endpoint serves a request, and whether to retry, hedge, coalesce or reject it. Receives events and
 * issues {@link RoutingActions}; uses no sockets, files, threads or clocks.
 *
 * <p>Events are delivered one at a time, each with the time at which it happened, in milliseconds of a monotonic clock.
 * Actions are issued before the method returns. Not thread-safe. Deterministic: the same settings, seed and events
 * produce the same actions. The caller assigns the ids of requests, endpoints and peers; an attempt is identified by
 * its request and its index, which counts the request's {@link RoutingActions#send} calls from 0.
 */
public interface LoadBalancer {

    /** {@link AttemptEnd#note} of a miss: another proxy is already fetching the object into this endpoint. */
    int NOTE_FETCH_IN_FLIGHT = 3;

    /**
     * Replaces the settings. Pending requests keep the service class they arrived with, and get at most as many
     * attempts as both the old and the new settings allow. Learned endpoint state is kept.
     *
     * @throws IllegalArgumentException if the settings have no service class or allow no attempt; the previous settings
     *     then stay in effect
     */
    void onSettings(double nowMs, RoutingSettings settings, RoutingActions out);

    /**
     * Whether an endpoint of the list is currently excluded from ordinary requests because it is draining or ejected.
     *
     * @param endpointId the endpoint's id; false for an id that is not in the list
     */
    boolean isAvoided(double nowMs, int endpointId);

    /** The learned state by pool name; the name of the pool of all endpoints is the empty string. */
    Map<String, LearnedState> learnedState(double nowMs);

    /**
     * Restores state learned by another instance. The state of endpoints that are not in the list, or have restarted
     * since, is discarded.
     *
     * @param states as returned by {@link #learnedState}; pools that this instance doesn't have are ignored
     */
    void restore(double nowMs, Map<String, LearnedState> states);

    /**
     * Applies entries of the endpoint list, or records a failed discovery call.
     *
     * @param kind what the entries are
     * @param endpoints the entries; empty if the call failed
     * @throws IllegalArgumentException if an endpoint is listed twice, or has an invalid weight, zone or kind
     */
    void onEndpointUpdate(double nowMs, EndpointUpdateKind kind, List<Endpoint> endpoints, RoutingActions out);

    /**
     * A client's request has arrived. It must get exactly one final answer: {@link RoutingActions#reject},
     * {@link RoutingActions#fail}, or an attempt that ends with {@link AttemptEnd#requestCompleted}.
     *
     * @throws IllegalArgumentException if its service class or tenant is not in the settings
     */
    void onRequest(double nowMs, Request request, RoutingActions out);

    /** The first byte of a streamed response has arrived; the request gets no other final answer. */
    void onFirstByte(double nowMs, int requestId, int attempt, int endpointId, RoutingActions out);

    /** An attempt has ended. Unknown attempts and those that have already ended are ignored. */
    void onAttemptEnd(double nowMs, AttemptEnd end, RoutingActions out);

    /** The client has disconnected; the request needs no final answer. */
    void onClientDisconnected(double nowMs, int requestId, RoutingActions out);

    /**
     * A timer has expired.
     *
     * @param token as passed to {@link RoutingActions#setTimer}
     */
    void onTimer(double nowMs, int token, RoutingActions out);

    /**
     * A health check has ended.
     *
     * @param outcome OK if the endpoint responded
     * @param elapsedMs how long the check took
     * @param report the endpoint's load report, with values in the order of {@link RoutingSettings#loadReportFields};
     *     null if there is none
     */
    void onHealthCheckResult(
            double nowMs, int endpointId, AttemptOutcome outcome, double elapsedMs, float[] report, RoutingActions out);

    /**
     * A message from another instance has arrived.
     *
     * @param peerIndex the sender's index in the fleet
     * @param message bytes as passed to {@link RoutingActions#sendToPeer}; malformed messages are ignored
     */
    void onPeerMessage(double nowMs, int peerIndex, byte[] message, RoutingActions out);

    /**
     * Changes how much of their traffic zones receive; zones without a directive are unaffected.
     *
     * @param directives one for each zone that changes
     */
    void onZoneDirectives(double nowMs, List<ZoneDirective> directives, RoutingActions out);
}
