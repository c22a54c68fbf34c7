package cacheproxy.gossip;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * What peers have sent, held for other peers that have missed it; the oldest is dropped first. Times in milliseconds.
 */
final class RelayedDeltas {
    private static final int CAPACITY = 8;

    private record Relayed(EndpointListDelta delta, double untilMs) {
        boolean covers(EndpointListDelta other, double otherUntilMs) {
            return delta.version() == other.version()
                    && delta.afterVersion() <= other.afterVersion()
                    && untilMs >= otherUntilMs;
        }
    }

    private final Deque<Relayed> deltas = new ArrayDeque<>();

    void clear() {
        deltas.clear();
    }

    /** Holds a delta until then, unless one of its version does as well: they differ little. */
    void add(EndpointListDelta delta, double untilMs) {
        if (deltas.stream().anyMatch(r -> r.covers(delta, untilMs))) {
            return;
        }
        deltas.addLast(new Relayed(delta, untilMs));
        if (deltas.size() > CAPACITY) {
            deltas.removeFirst();
        }
    }

    /** Discovery's list is of this version: deltas up to it are of no use. */
    void removeUpTo(long version) {
        deltas.removeIf(r -> r.delta().version() <= version);
    }

    /** Those beyond a version that have not expired, each with what is left of its time. */
    List<EndpointListDelta> after(long version, double nowMs) {
        List<EndpointListDelta> remaining = new ArrayList<>();
        for (Relayed r : deltas) {
            EndpointListDelta delta = r.delta();
            int ttlMs = (int) (r.untilMs() - nowMs);
            if (delta.version() > version && ttlMs > 0) {
                remaining.add(new EndpointListDelta(delta.afterVersion(), delta.version(), ttlMs, delta.changes()));
            }
        }
        return remaining;
    }
}
