package cacheproxy.route;

import cacheproxy.routing.RoutingActions;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/** What follows from a load balancer's order and calls that load balancer, which is not reentrant: runs after it. */
final class DeferredActions {
    private final ArrayDeque<Consumer<RoutingActions>> queue = new ArrayDeque<>();

    void add(Consumer<RoutingActions> action) {
        queue.add(action);
    }

    /** Runs all in their order, and those that they add. */
    void runAll(RoutingActions out) {
        for (Consumer<RoutingActions> next; (next = queue.poll()) != null; ) {
            next.accept(out);
        }
    }
}
