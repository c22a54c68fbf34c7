package cacheproxy.flow;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * The ids of requests that have ended lately. An id is new with every request, so one that comes again names another
 * client's request: served, that request would have two answers, and servers that are still at it would take the two
 * for one. Bounded in time and number; the oldest are forgotten first.
 */
public final class RecentIds {
    /** Two thousand requests a second for eight seconds, in some two megabytes. */
    static final int MAX_IDS = 16_384;

    private final ArrayDeque<Ended> order = new ArrayDeque<>();
    private final Set<String> ids = new HashSet<>();

    private record Ended(String id, double untilMs) {}

    /** The request of this id, which is not held, has ended; it is held for so long. */
    public void ended(double now, String id, double holdMs) {
        forget(now);
        if (order.size() >= MAX_IDS) {
            ids.remove(order.poll().id());
        }
        if (ids.add(id)) {
            order.add(new Ended(id, now + holdMs));
        }
    }

    /** Whether a request of this id has ended lately. */
    public boolean holds(double now, String id) {
        forget(now);
        return ids.contains(id);
    }

    /** How many are held. */
    public int size() {
        return order.size();
    }

    private void forget(double now) {
        while (!order.isEmpty() && order.peek().untilMs() <= now) {
            ids.remove(order.poll().id());
        }
    }
}
