package damsonworks.peer;

import damsonworks.RoutingApi.Member;
import damsonworks.RoutingApi.State;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The list of servers as this proxy should use it: what discovery has told, and on top of it newer changes that peers
 * were told. Discovery takes few calls a second, and a fleet that has to call it anew needs many seconds until the last
 * instance is answered; one answer, passed on, serves all. What peers tell is provisional: discovery's list of that
 * version or a later one settles it, and without that it is undone after {@link #HOLD_MS}.
 *
 * <p>A peer can have a server left alone, or taken for one that has just started. It can add none, as peers may reach a
 * server at another address; nor, with others, have more than half of the servers left alone.
 */
public final class ProvisionalMembership {
    /** What peers tell is used for so long without discovery's word: some turns of its line, however full it is. */
    static final int HOLD_MS = 15_000;
    /** A start further ahead than this, in milliseconds, is no clock that differs, but a mistake. */
    static final double MOST_AHEAD_MS = 10_000;
    /**
     * Of the versions that were told here, a message goes back so many: some of its receivers missed the one before.
     */
    private static final int VERSIONS_BACK = 4;

    /** What peers told is kept for others who missed it: so many messages. */
    private static final int MOST_RELAYED = 8;

    private record Provisional(Member member, long version, double untilMs) {}

    private record Relayed(ListUpdate update, double untilMs) {}

    private final int originKind;
    private final Map<Integer, Member> told = new LinkedHashMap<>();
    private final Map<Integer, Provisional> provisional = new HashMap<>();
    private final ChangeLog log = new ChangeLog();
    private final Deque<Relayed> relayed = new ArrayDeque<>();
    private final long[] lastVersions = new long[VERSIONS_BACK];
    private int versions;
    private long version;
    private long known;

    /** Knows of no server yet. {@code originKind}: the kind whose servers peers can't change; negative for none. */
    public ProvisionalMembership(int originKind) {
        this.originKind = originKind;
    }

    /** The list that this proxy starts with. */
    public void begin(long listVersion, List<Member> members) {
        told.clear();
        provisional.clear();
        members.forEach(m -> told.put(m.id(), m));
        restart(listVersion);
    }

    private void restart(long listVersion) {
        version = listVersion;
        known = listVersion;
        log.clear(listVersion);
        relayed.clear();
        versions = 0;
    }

    /** The version up to which all changes are known here, by discovery or by peers. */
    public long known() {
        return known;
    }

    /**
     * Discovery has told the list, or changes of it.
     *
     * @return what to use in its place: the same kind of list, with what peers have told of later versions, and with
     *     what becomes of servers about which peers were wrong
     */
    public List<Member> told(long listVersion, boolean whole, List<Member> members) {
        Map<Integer, Member> used = new LinkedHashMap<>();
        members.forEach(m -> used.put(m.id(), m));
        if (listVersion < version) { // it numbers anew: no version that was told before means anything
            provisional.keySet().forEach(id -> used.putIfAbsent(id, told.get(id)));
            provisional.clear();
            restart(listVersion);
        }
        record(listVersion, whole, members);
        if (listVersion > version) {
            lastVersions[versions++ % VERSIONS_BACK] = version;
        }
        version = listVersion;
        known = Math.max(known, listVersion);
        relayed.removeIf(r -> r.update().version() <= listVersion);
        for (int id : List.copyOf(provisional.keySet())) {
            Provisional p = provisional.get(id);
            Member now = told.get(id);
            if (p.version() <= version || now == null) {
                provisional.remove(id);
                if (now != null) {
                    used.putIfAbsent(id, now);
                }
            } else {
                used.replace(id, p.member());
            }
        }
        return List.copyOf(used.values());
    }

    private void record(long listVersion, boolean whole, List<Member> members) {
        Set<Integer> named = new HashSet<>();
        for (Member m : members) {
            named.add(m.id());
            Member before = m.state() == State.GONE ? told.remove(m.id()) : told.put(m.id(), m);
            if (before == null || before.state() != m.state() || before.bornMs() != m.bornMs()) {
                log.add(new ListChange(listVersion, m.id(), m.state(), m.bornMs()));
            }
        }
        if (whole) {
            for (Member m : List.copyOf(told.values())) {
                if (!named.contains(m.id())) {
                    told.remove(m.id());
                    log.add(new ListChange(listVersion, m.id(), State.GONE, m.bornMs()));
                }
            }
        }
    }

    /** A peer tells what discovery told it. What comes back are changes to use at once. */
    public List<Member> heard(double nowMs, ListUpdate update) {
        double untilMs = nowMs + Math.min(HOLD_MS, update.holdMs());
        if (update.version() <= version || untilMs <= nowMs) {
            return List.of();
        }
        keep(update, untilMs);
        if (update.after() <= known) {
            known = Math.max(known, update.version());
        }
        List<Member> changed = new ArrayList<>();
        for (ListChange change : update.servers()) {
            Member next = next(nowMs, change);
            if (next != null) {
                provisional.put(next.id(), new Provisional(next, update.version(), untilMs));
                changed.add(next);
            }
        }
        return changed;
    }

    /** One message of a version, as different ones of it differ little. */
    private void keep(ListUpdate update, double untilMs) {
        boolean held = relayed.stream()
                .anyMatch(r -> r.update().version() == update.version()
                        && r.update().after() <= update.after()
                        && r.untilMs() >= untilMs);
        if (!held) {
            relayed.addLast(new Relayed(update, untilMs));
            if (relayed.size() > MOST_RELAYED) {
                relayed.removeFirst();
            }
        }
    }

    /** The server as the change has it; null if the change is to be left alone. */
    private Member next(double nowMs, ListChange change) {
        Member base = told.get(change.server());
        Provisional before = provisional.get(change.server());
        if (base == null
                || base.kind() == originKind
                || change.bornMs() > nowMs + MOST_AHEAD_MS
                || (before != null && before.version() >= change.version())) {
            return null;
        }
        Member present = before != null ? before.member() : base;
        // One that is gone is only left alone: undone, it is there again.
        State state = change.state() == State.READY ? State.READY : State.DRAINING;
        if (state == present.state() && change.bornMs() == present.bornMs()) {
            return null;
        }
        boolean left = state != State.READY && present.state() == State.READY;
        return left && !mayLeaveOneMore()
                ? null
                : new Member(base.id(), base.zone(), base.kind(), base.cell(), state, base.weight(), change.bornMs());
    }

    private boolean mayLeaveOneMore() {
        long ready = told.values().stream()
                .filter(m -> m.state() == State.READY && m.kind() != originKind)
                .count();
        long left = provisional.values().stream()
                .filter(p -> p.member().state() != State.READY
                        && told.get(p.member().id()).state() == State.READY)
                .count();
        return 2 * (left + 1) <= ready;
    }

    /** When the first change that peers told is to be undone, in milliseconds; infinite for never. */
    public double dueMs() {
        return provisional.values().stream()
                .mapToDouble(Provisional::untilMs)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** What becomes of servers of which discovery has not confirmed what peers told, for too long. */
    public List<Member> due(double nowMs) {
        List<Member> undone = new ArrayList<>();
        provisional.values().removeIf(p -> {
            boolean over = p.untilMs() <= nowMs;
            if (over) {
                undone.add(told.get(p.member().id()));
            }
            return over;
        });
        return undone;
    }

    /** What peers are told of the version that discovery told last, and of some before it: one message. */
    public ListUpdate news() {
        long back = versions == 0 ? version : lastVersions[versions < VERSIONS_BACK ? 0 : versions % VERSIONS_BACK];
        List<ListChange> changes = log.after(back);
        int dropped = Math.max(0, changes.size() - ListUpdate.MOST_SERVERS);
        long after =
                dropped == 0 ? completeAfter(back) : changes.get(dropped - 1).version();
        return new ListUpdate(after, version, HOLD_MS, changes.subList(dropped, changes.size()));
    }

    /** What a peer that knows this version has missed, as messages to send; none if it is none. */
    public List<ListUpdate> since(double nowMs, long held) {
        List<ListUpdate> updates = new ArrayList<>();
        List<ListChange> changes = log.after(held);
        for (int from = 0; from < changes.size(); from += ListUpdate.MOST_SERVERS) {
            int to = Math.min(changes.size(), from + ListUpdate.MOST_SERVERS);
            // Only the last one claims that nothing is missing before it.
            long after = to == changes.size() ? completeAfter(held) : version;
            updates.add(new ListUpdate(after, version, HOLD_MS, changes.subList(from, to)));
        }
        for (Relayed r : relayed) {
            ListUpdate update = r.update();
            int left = (int) (r.untilMs() - nowMs);
            if (update.version() > held && left > 0) {
                updates.add(new ListUpdate(update.after(), update.version(), left, update.servers()));
            }
        }
        return updates;
    }

    private long completeAfter(long held) {
        return Math.min(version, Math.max(held, log.completeAfter()));
    }
}
