package cacheproxy.gossip;

import cacheproxy.routing.Endpoint;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * When servers started, on this process's clock. Lists tell it by the wall clock of another machine, which may differ
 * from this one's by an hour: taken at its word, a server that has just started would count as warm, or as cold for an
 * hour. But that a start is news is an event that can be timed here: it can't lie in the future, nor long before the
 * last list that did not have it.
 */
public final class LocalStartTimes {
    /** A start comes with a list at most so long after it; what is older when it is news was told by another clock. */
    static final double MAX_NOTICE_DELAY_MS = 10_000;
    /** Servers whose starts are remembered, those included that have left; the oldest are forgotten first. */
    static final int MAX_ENDPOINTS = 8192;

    private final Map<Integer, Start> starts = new LinkedHashMap<>();
    /** When a list came last before the present one; NaN: none has that was no older one handed over at the start. */
    private double lastUpdateMs = Double.NaN;

    private record Start(double listStartTimeMs, double localStartTimeMs) {}

    /** A list that is older than this process; the next one may tell of starts of any age. */
    public List<Endpoint> reset(double nowMs, List<Endpoint> members) {
        lastUpdateMs = Double.NaN;
        return withLocalStartTimes(nowMs, members);
    }

    /** A list has come, or changes of one. */
    public List<Endpoint> onUpdate(double nowMs, List<Endpoint> members) {
        List<Endpoint> timed = withLocalStartTimes(nowMs, members);
        lastUpdateMs = nowMs;
        return timed;
    }

    /** The same members, each with when it started on this process's clock; news of others than discovery. */
    public List<Endpoint> withLocalStartTimes(double nowMs, List<Endpoint> members) {
        List<Endpoint> timed = new ArrayList<>(members.size());
        for (Endpoint member : members) {
            timed.add(member.startTimeMs() == 0 ? member : member.withLocalStartTime(localStartTimeMs(nowMs, member)));
        }
        return timed;
    }

    private double localStartTimeMs(double nowMs, Endpoint member) {
        Start known = starts.get(member.id());
        if (known != null && known.listStartTimeMs == member.startTimeMs()) {
            return known.localStartTimeMs;
        }
        boolean otherClock = member.startTimeMs() > nowMs || member.startTimeMs() < lastUpdateMs - MAX_NOTICE_DELAY_MS;
        double startedMs = otherClock ? nowMs : member.startTimeMs();
        starts.remove(member.id());
        starts.put(member.id(), new Start(member.startTimeMs(), startedMs));
        if (starts.size() > MAX_ENDPOINTS) {
            starts.remove(starts.keySet().iterator().next());
        }
        return startedMs;
    }
}
