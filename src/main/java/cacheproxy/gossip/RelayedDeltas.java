package cacheproxy.gossip;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The deltas received from peers, stored for other peers that missed them; the oldest is dropped first. Times in
 * milliseconds.
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

    /**
     * Stores a delta until this time, unless a stored one of the same version covers it: deltas of one version differ
     * little.
     */
    void add(EndpointListDelta delta, double untilMs) {
        if (deltas.stream().anyMatch(r -> r.covers(delta, untilMs))) {
            return;
        }
        deltas.addLast(new Relayed(delta, untilMs));
        if (deltas.size() > CAPACITY) {
            deltas.removeFirst();
        }
    }

    /** Removes the deltas up to this version of discovery's list, which are no longer of use. */
    void removeUpTo(long version) {
        deltas.removeIf(r -> r.delta().version() <= version);
    }

    /** Returns the unexpired deltas beyond a version, each with its remaining time. */
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
