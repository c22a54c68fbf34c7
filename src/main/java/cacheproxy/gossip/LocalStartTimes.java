package cacheproxy.gossip;

import cacheproxy.routing.Endpoint;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Translates the start times of endpoints to this process's clock. Lists carry them by the wall clock of another
 * machine, which may differ by an hour: taken as they are, an endpoint that has just started would count as warm, or
 * one that is warm would be slow-started for an hour. That a start time is new is an event that can be timed here: the
 * start can't lie in the future, nor long before the last list that did not have it. Times in milliseconds.
 */
public final class LocalStartTimes {
    /** A start is on a list after this time at most; one that is older when it appears is by another clock. */
    static final double MAX_LIST_DELAY_MS = 10_000;
    /** Endpoints whose start is held, removed ones included; the oldest start is dropped first. */
    static final int MAX_ENDPOINTS = 8192;

    private final Map<Integer, Start> starts = new LinkedHashMap<>();
    /** When the list before the present one came; NaN while there is none but a cached one. */
    private double lastUpdateMs = Double.NaN;

    private record Start(double listStartTimeMs, double localStartTimeMs) {}

    /** The list is one from before this process; the next one may hold starts of any age. */
    public List<Endpoint> reset(double nowMs, List<Endpoint> endpoints) {
        lastUpdateMs = Double.NaN;
        return withLocalStartTimes(nowMs, endpoints);
    }

    /** A list has come of discovery, or changes of one. */
    public List<Endpoint> onUpdate(double nowMs, List<Endpoint> endpoints) {
        List<Endpoint> localized = withLocalStartTimes(nowMs, endpoints);
        lastUpdateMs = nowMs;
        return localized;
    }

    /** The same endpoints, each with its start by this process's clock; for changes that do not come of discovery. */
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
        starts.remove(endpoint.id()); // so that it goes to the end
        starts.put(endpoint.id(), new Start(endpoint.startTimeMs(), localMs));
        if (starts.size() > MAX_ENDPOINTS) {
            starts.remove(starts.keySet().iterator().next());
        }
        return localMs;
    }
}
