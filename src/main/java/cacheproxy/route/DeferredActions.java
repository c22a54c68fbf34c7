package cacheproxy.route;

import cacheproxy.routing.RoutingActions;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Actions that follow from a load balancer's order and call that load balancer again. It is not reentrant, so they run
 * after its event.
 */
final class DeferredActions {
    private final ArrayDeque<Consumer<RoutingActions>> queue = new ArrayDeque<>();

    void add(Consumer<RoutingActions> action) {
        queue.add(action);
    }

    /** Runs all in the order in which they were added, including those added meanwhile. */
    void runAll(RoutingActions out) {
        for (Consumer<RoutingActions> next; (next = queue.poll()) != null; ) {
            next.accept(out);
        }
    }
}
