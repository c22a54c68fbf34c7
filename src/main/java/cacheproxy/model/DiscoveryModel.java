package cacheproxy.model;

import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The discovery service, shared by all instances: it sends a limited number of lines per second, serves calls in order,
 * rejects those that would wait too long, and learns of changes with a delay.
 */
final class DiscoveryModel {
    /** A call that would take longer than this, in milliseconds, is rejected. */
    private static final double LONGEST_WAIT_MS = 3000;

    /** An instance that watches the endpoint list. */
    interface Watcher {
        /** The whole list, or the changes since the last update. */
        void list(long version, boolean whole, List<Endpoint> members);

        void failed();
    }

    private final VirtualTime time;
    private final Tally tally;
    private final double noticeMs;
    private final int callLines;
    private double lines;
    private double freeMs;
    private double lateMs;
    private boolean down;
    private long version = 1;
    private final Map<Integer, Endpoint> members = new TreeMap<>();
    private final TreeSet<Integer> late = new TreeSet<>();
    private final Map<Integer, Watcher> calling = new TreeMap<>();
    private final Map<Integer, Watcher> watchers = new TreeMap<>();

    DiscoveryModel(FleetDraw draw, VirtualTime time, Tally tally) {
        this.time = time;
        this.tally = tally;
        noticeMs = draw.noticeMs();
        callLines = draw.callLines();
        lines = draw.lines();
    }

    /** The current list. */
    List<Endpoint> known() {
        return List.copyOf(members.values());
    }

    long version() {
        return version;
    }

    /** Adds a member that is listed from the beginning. */
    void begin(Endpoint member) {
        members.put(member.id(), member);
    }

    /** A member has changed; discovery learns of it after its delay and tells the watchers. */
    void changed(Endpoint member) {
        time.after(noticeMs, () -> {
            version++;
            if (member.state() == EndpointState.REMOVED) {
                members.remove(member.id());
            } else {
                members.put(member.id(), member);
            }
            for (Map.Entry<Integer, Watcher> w : List.copyOf(watchers.entrySet())) {
                long told = version;
                time.after(late.contains(w.getKey()) ? lateMs : 1, () -> {
                    if (watchers.get(w.getKey()) == w.getValue()) {
                        w.getValue().list(told, false, List.of(member));
                    }
                });
            }
        });
    }

    /** Sets the number of lines per second. */
    void capacity(double perSecond) {
        lines = perSecond;
    }

    /** Stops or resumes serving calls; when it stops, all calls and watches fail. */
    void down(boolean on) {
        down = on;
        if (on) {
            List<Watcher> all = Stream.concat(calling.values().stream(), watchers.values().stream())
                    .toList();
            calling.clear();
            watchers.clear();
            all.forEach(Watcher::failed);
        }
    }

    /** Delays updates to these instances by this time. */
    void late(List<Integer> instances, double ms) {
        late.clear();
        late.addAll(instances);
        lateMs = ms;
    }

    /** A call for the whole list, which then becomes a watch. */
    void call(int instance, Watcher watcher) {
        leave(instance);
        tally.add(time.now(), Figure.CALLS);
        double took = (callLines + members.size()) * 1000.0 / lines;
        double wait = Math.max(0, freeMs - time.now());
        if (down || wait + took > LONGEST_WAIT_MS) {
            tally.add(time.now(), Figure.CALLS_FAILED);
            time.after(5, watcher::failed);
            return;
        }
        freeMs = time.now() + wait + took;
        calling.put(instance, watcher);
        double extra = late.contains(instance) ? lateMs : 0;
        time.after(wait + took, () -> {
            if (calling.remove(instance, watcher)) {
                watchers.put(instance, watcher);
                long held = version;
                List<Endpoint> list = known();
                time.after(extra, () -> {
                    if (watchers.get(instance) == watcher) {
                        watcher.list(held, true, list);
                    }
                });
            }
        });
    }

    /** Ends the instance's call or watch. */
    void leave(int instance) {
        calling.remove(instance);
        watchers.remove(instance);
    }
}
