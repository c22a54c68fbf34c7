package cacheproxy.gossip;

import cacheproxy.routing.Endpoint;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Translates the start times of endpoints to this process's clock. Lists contain them by the wall clock of another
 * machine, which may differ by an hour. Used unchanged, an endpoint that has just started would count as warm, or a
 * warm one would be in slow start for an hour. The first appearance of a start time is an event that can be timed
 * locally: the start cannot be in the future, nor long before the last list that did not contain it. Times in
 * milliseconds.
 */
public final class LocalStartTimes {
    /**
     * The maximum time from a start until a list contains it. If a start time is older when it first appears, the
     * clocks differ.
     */
    static final double MAX_LIST_DELAY_MS = 10_000;
    /**
     * The maximum number of endpoints whose start times are stored, including removed ones; the oldest start is dropped
     * first.
     */
    static final int MAX_ENDPOINTS = 8192;

    private final Map<Integer, Start> starts = new LinkedHashMap<>();
    /** When the previous list was received; NaN if there was none but a cached one. */
    private double lastUpdateMs = Double.NaN;

    private record Start(double listStartTimeMs, double localStartTimeMs) {}

    /** Starts over with a list from before this process; the next list may contain starts of any age. */
    public List<Endpoint> reset(double nowMs, List<Endpoint> endpoints) {
        lastUpdateMs = Double.NaN;
        return withLocalStartTimes(nowMs, endpoints);
    }

    /** Translates a list received from discovery, or changes of one. */
    public List<Endpoint> onUpdate(double nowMs, List<Endpoint> endpoints) {
        List<Endpoint> localized = withLocalStartTimes(nowMs, endpoints);
        lastUpdateMs = nowMs;
        return localized;
    }

    /**
     * Returns the same endpoints with their start times by this process's clock; for changes that were not received
     * from discovery.
     */
    public List<Endpoint> withLocalStartTimes(double nowMs, List<Endpoint> endpoints) {
        List<Endpoint> localized = new ArrayList<>(endpoints.size());
        for (Endpoint endpoint : endpoints) {
            localized.add(
                    endpoint.startTimeMs() == 0
                            ? endpoint
                            : endpoint.withLocalStartTime(localStartTimeMs(nowMs, endpoint)));
        }
        return localized;
    }

    private double localStartTimeMs(double nowMs, Endpoint endpoint) {
        Start known = starts.get(endpoint.id());
        if (known != null && known.listStartTimeMs() == endpoint.startTimeMs()) {
            return known.localStartTimeMs();
        }
        boolean byAnotherClock =
                endpoint.startTimeMs() > nowMs || endpoint.startTimeMs() < lastUpdateMs - MAX_LIST_DELAY_MS;
        double localMs = byAnotherClock ? nowMs : endpoint.startTimeMs();
        starts.remove(endpoint.id()); // re-inserted at the end
        starts.put(endpoint.id(), new Start(endpoint.startTimeMs(), localMs));
        if (starts.size() > MAX_ENDPOINTS) {
            starts.remove(starts.keySet().iterator().next());
        }
        return localMs;
    }
}
