package cacheproxy.routing;

import java.util.List;
import java.util.Map;

/** What the decision module is told and what it can order: its settings, events and actions. */
public interface LoadBalancer {

    int NOTE_FETCH_IN_FLIGHT = 3;

    /**
     * Other settings hold from now on, for requests to come. Those under way keep their class and its terms; of
     * attempts they get no more than either allows. What has been learnt of servers stays.
     */
    void onSettings(double now, RoutingSettings settings, RoutingActions out);

    /** Whether this server of the list gets no ordinary request now, because it drains or has failed. */
    boolean isAvoided(double now, int server);

    /** What has been learnt so far, by the pool's name; that of all servers has none. */
    Map<String, LearnedState> learnedState(double now);

    /** Goes on where another left off. Of servers that are not in the list, or have started since, nothing is taken. */
    void resume(double now, Map<String, LearnedState> learnt);

    /** News of the list of servers. */
    void onEndpointUpdate(double now, EndpointUpdateKind kind, List<Endpoint> members, RoutingActions out);

    /** A client's request; the instance now owes exactly one final answer. */
    void onRequest(double now, Request request, RoutingActions out);

    /** A streamed answer has begun. */
    void onFirstByte(double now, int request, int attempt, int server, RoutingActions out);

    /** An attempt has ended. */
    void onAttemptEnd(double now, AttemptEnd end, RoutingActions out);

    /** The client has left; no answer is owed. */
    void onClientDisconnected(double now, int request, RoutingActions out);

    /** A timer has come due. */
    void onTimer(double now, int token, RoutingActions out);

    /** The result of a probe. */
    void onHealthCheckResult(
            double now, int server, AttemptOutcome outcome, double elapsedMs, float[] report, RoutingActions out);

    /** A message of another instance. */
    void onPeerMessage(double now, int peer, byte[] message, RoutingActions out);

    /** The fleet has zones open so far from now on; of others nothing changes. */
    void onZoneDirectives(double now, List<ZoneDirective> orders, RoutingActions out);
}
