package cacheproxy.proxy.lifecycle;

import cacheproxy.proxy.Counters;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.client.ClientAcceptor;
import cacheproxy.takeover.HandoverStateMachine;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The open connections and requests of an instance, and its totals since the start.
 *
 * @param clientConnections open connections of clients
 * @param openRequests requests without a final answer
 * @param completedRequests requests answered since the start
 * @param upstreamConnections open connections to cache nodes and the origin
 * @param outcomesByClass how requests have ended, by the name of their service class
 * @param forwardedAttempts attempts fully written to cache nodes or the origin
 * @param discoveredNodes cache nodes in the endpoint list
 * @param ejectedNodes cache nodes that have received no ordinary request for at least a second and receive none now
 * @param reloadsApplied configuration reloads that took effect
 * @param reloadsRejected configuration reloads that were rejected
 * @param handoverPhase how far a handover to a successor has come
 * @param completedHandovers successors that have started to serve
 * @param valueBytes bytes reserved for values that are buffered completely
 * @param waitingValues values that wait for such a reservation
 */
public record ProxyStatus(
        int clientConnections,
        int openRequests,
        long completedRequests,
        int upstreamConnections,
        Map<String, ClassOutcomes> outcomesByClass,
        long forwardedAttempts,
        int discoveredNodes,
        int ejectedNodes,
        long reloadsApplied,
        long reloadsRejected,
        HandoverStateMachine.Phase handoverPhase,
        int completedHandovers,
        long valueBytes,
        int waitingValues) {

    /** The status at this moment. On the event loop only. */
    static ProxyStatus of(Dispatcher dispatcher, ClientAcceptor acceptor, HandoverStateMachine handover) {
        Counters counters = dispatcher.counters();
        Map<String, ClassOutcomes> outcomes = new LinkedHashMap<>();
        counters.classes()
                .forEach((name, total) ->
                        outcomes.put(name, new ClassOutcomes(total.succeeded(), total.rejected(), total.failed())));
        return new ProxyStatus(
                acceptor.openConnections(),
                dispatcher.openRequests(),
                dispatcher.completedRequests(),
                dispatcher.servers().connections(),
                outcomes,
                counters.forwards(),
                dispatcher.servers().cacheNodeCount(),
                dispatcher.servers().ejectedNodeCount(),
                counters.reloadsApplied(),
                counters.reloadsRejected(),
                handover.phase(),
                handover.completedHandovers(),
                dispatcher.bufferLimits().values().reserved(),
                dispatcher.bufferLimits().values().waiting());
    }
}
