package cacheproxy.failover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The health of each zone by this instance's own attempts over the last {@link #WINDOW_MS}. A node that does not
 * respond counts as one node, however many attempts it received; only several such nodes are evidence against their
 * zone. Times in milliseconds of one clock; not thread-safe.
 */
final class ZoneHealthMonitor {
    /** The length of the observation window. */
    static final double WINDOW_MS = 2500;

    private static final int SLOTS = 10;
    private static final double SLOT_MS = WINDOW_MS / SLOTS;
    /** A zone is unreachable if this many different nodes in a row do not respond and no other node does. */
    static final int UNREACHABLE_NODES = 3;
    /** The minimum duration of that: nodes that all stall for a moment are not unreachable. */
    private static final double UNREACHABLE_AFTER_MS = 300;
    /**
     * The part of attempts without a response that makes a zone degraded. One bad node of six would exceed it, so
     * several nodes have to be affected as well.
     */
    private static final double DEGRADED_FRACTION = 0.15;

    private static final int MIN_DEGRADED_ATTEMPTS = 8;
    /** The number of responses that make a zone healthy, if too few attempts fail to make it degraded. */
    private static final int MIN_HEALTHY_RESPONSES = 2;
    /** The origin is saturated if more than this part of fetches ended late or failed. */
    private static final double SATURATED_FRACTION = 0.2;

    private static final int MIN_SATURATED_FETCHES = 5;

    /** The observations in one slot of the window. */
    private static final class Slot {
        private static final long UNUSED = -1;

        long number = UNUSED;
        int responses;
        int misses;
        int timeouts;
        final Set<Integer> unresponsiveNodes = new HashSet<>();

        /** Clears the slot if it holds an earlier part of the window. */
        void use(long currentNumber) {
            if (number != currentNumber) {
                number = currentNumber;
                responses = 0;
                misses = 0;
                timeouts = 0;
                unresponsiveNodes.clear();
            }
        }
    }

    /** The sums over the window. */
    private static final class Totals {
        int responses;
        int misses;
        int timeouts;
        final Set<Integer> unresponsiveNodes = new HashSet<>();

        int attempts() {
            return responses + timeouts;
        }
    }

    /** The window of one zone, or of the origin. */
    private static final class Window {
        final Slot[] slots = new Slot[SLOTS];
        /** Nodes that have not responded since any node of the zone last did. */
        final Set<Integer> consecutiveUnresponsive = new HashSet<>();

        double unresponsiveSinceMs;
        double lastTimeoutMs = Double.NEGATIVE_INFINITY;
        int readyNodes = UNREACHABLE_NODES;

        Window() {
            for (int i = 0; i < SLOTS; i++) {
                slots[i] = new Slot();
            }
        }

        Slot slot(double nowMs) {
            long number = (long) (nowMs / SLOT_MS);
            Slot slot = slots[(int) (number % SLOTS)];
            slot.use(number);
            return slot;
        }

        Totals totals(double nowMs) {
            long number = (long) (nowMs / SLOT_MS);
            Totals totals = new Totals();
            for (Slot slot : slots) {
                if (slot.number != Slot.UNUSED && number - slot.number < SLOTS) {
                    totals.responses += slot.responses;
                    totals.misses += slot.misses;
                    totals.timeouts += slot.timeouts;
                    totals.unresponsiveNodes.addAll(slot.unresponsiveNodes);
                }
            }
            return totals;
        }

        void clear() {
            for (Slot slot : slots) {
                slot.number = Slot.UNUSED;
            }
        }

        /** The number of nodes that counts as several, in a zone that may have fewer. */
        int severalNodes() {
            return Math.min(UNREACHABLE_NODES, readyNodes);
        }

        boolean isUnreachable(double nowMs) {
            return consecutiveUnresponsive.size() >= severalNodes()
                    && nowMs - unresponsiveSinceMs >= UNREACHABLE_AFTER_MS
                    && nowMs - lastTimeoutMs <= WINDOW_MS;
        }
    }

    private final List<Window> zones = new ArrayList<>();
    private final Window origin = new Window();

    /** Begins without observations of any zone. */
    ZoneHealthMonitor(int zoneCount) {
        for (int z = 0; z < zoneCount; z++) {
            zones.add(new Window());
        }
    }

    /** Sets the number of a zone's nodes that may receive requests. */
    void setReadyNodes(int zone, int readyNodes) {
        zones.get(zone).readyNodes = Math.max(1, readyNodes);
    }

    /** A node of a zone has responded; {@code hit}: whether it had the requested value. */
    void onResponse(double nowMs, int zone, boolean hit) {
        Window window = zones.get(zone);
        if (window.isUnreachable(nowMs)) {
            window.clear(); // otherwise the unreachable time would count for a whole window
        }
        Slot slot = window.slot(nowMs);
        slot.responses++;
        slot.misses += hit ? 0 : 1;
        window.consecutiveUnresponsive.clear();
    }

    /** A node of a zone has not responded in time, or has closed the connection instead. */
    void onNoResponse(double nowMs, int zone, int endpointId) {
        Window window = zones.get(zone);
        Slot slot = window.slot(nowMs);
        slot.timeouts++;
        if (slot.unresponsiveNodes.size() < FailoverPlan.MAX_ZONES * UNREACHABLE_NODES) {
            slot.unresponsiveNodes.add(endpointId);
        }
        if (nowMs - window.lastTimeoutMs > WINDOW_MS) {
            window.consecutiveUnresponsive.clear(); // these nodes have not been tried since
        }
        window.lastTimeoutMs = nowMs;
        window.unresponsiveSinceMs = window.consecutiveUnresponsive.isEmpty() ? nowMs : window.unresponsiveSinceMs;
        if (window.consecutiveUnresponsive.size() < UNREACHABLE_NODES) {
            window.consecutiveUnresponsive.add(endpointId);
        }
    }

    /** A fetch from the origin has ended, in time or not. */
    void onOriginFetch(double nowMs, boolean inTime) {
        Slot slot = origin.slot(nowMs);
        if (inTime) {
            slot.responses++;
        } else {
            slot.timeouts++;
        }
    }

    /** Whether the origin has no capacity left. */
    boolean isOriginSaturated(double nowMs) {
        Totals totals = origin.totals(nowMs);
        return totals.timeouts >= MIN_SATURATED_FETCHES && totals.timeouts > SATURATED_FRACTION * totals.attempts();
    }

    /** The health of a zone as this instance observes it now. */
    ZoneHealth health(double nowMs, int zone) {
        Window window = zones.get(zone);
        if (window.isUnreachable(nowMs)) {
            return ZoneHealth.UNREACHABLE;
        }
        Totals totals = window.totals(nowMs);
        int attempts = totals.attempts();
        if (attempts >= MIN_DEGRADED_ATTEMPTS
                && totals.timeouts >= DEGRADED_FRACTION * attempts
                && totals.unresponsiveNodes.size() >= window.severalNodes()) {
            return ZoneHealth.DEGRADED;
        }
        return totals.responses >= MIN_HEALTHY_RESPONSES && totals.timeouts < DEGRADED_FRACTION * attempts
                ? ZoneHealth.HEALTHY
                : ZoneHealth.UNKNOWN;
    }

    /** Whether a zone's nodes respond but miss at least half of the requests: they have lost their caches. */
    boolean isCold(double nowMs, int zone) {
        Totals totals = zones.get(zone).totals(nowMs);
        return totals.responses >= MIN_HEALTHY_RESPONSES && 2 * totals.misses >= totals.responses;
    }

    /** The attempts per second at a zone that ended within the window. */
    double attemptsPerSecond(double nowMs, int zone) {
        return zones.get(zone).totals(nowMs).attempts() * 1000 / WINDOW_MS;
    }
}
