package cacheproxy.model;

import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The list of nodes: one service for all instances that sends so many lines a second, takes calls in turn, turns away
 * those that would wait too long, and knows of changes late.
 */
final class DiscoveryModel {
    /** A call that would wait longer than this is turned away, in milliseconds. */
    private static final double LONGEST_WAIT_MS = 3000;

    /** Who waits for changes. */
    interface Watcher {
        /** The whole list, or changes since what it had. */
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

    /** The list as it stands, for those who begin with it. */
    List<Endpoint> known() {
        return List.copyOf(members.values());
    }

    long version() {
        return version;
    }

    /** It is there from the beginning. */
    void begin(Endpoint member) {
        members.put(member.id(), member);
    }

    /** It will come to know of this. */
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

    /** Sends so many lines a second from now on. */
    void capacity(double perSecond) {
        lines = perSecond;
    }

    /** Takes no calls, or takes them again; watches end. */
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

    /** What it tells these instances is that much later. */
    void late(List<Integer> instances, double ms) {
        late.clear();
        late.addAll(instances);
        lateMs = ms;
    }

    /** A call for the whole list, and a watch from there on. */
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

    /** It no longer waits. */
    void leave(int instance) {
        calling.remove(instance);
        watchers.remove(instance);
    }
}
