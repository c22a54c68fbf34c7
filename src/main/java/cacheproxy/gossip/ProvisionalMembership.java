package cacheproxy.gossip;

import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The list of servers as this proxy should use it: what discovery has told it, restricted by newer changes that peers
 * were told. Discovery takes few calls a second, and a fleet that has to call it anew needs many seconds until the last
 * instance is answered; one answer, passed on, serves all.
 *
 * <p>A server may be used only as discovery's own word to this proxy allows. Everything else restricts and never
 * permits: a peer can have a ready server left alone, or taken for one that has started later; it can add none, as
 * peers may reach a server at another address, nor have one used again that discovery or a peer has told to drain; nor,
 * with others, have more than half of the servers left alone. An older list of discovery's, out of turn, does not lift
 * what a newer one has told.
 *
 * <p>A restriction ends by discovery's word of its version or a later one. As versions of two numberings can't be
 * compared, and a peer may be wrong, it also ends once it is old and discovery answers: never while discovery is
 * silent, as a change that could have been learnt counts as told then.
 */
public final class ProvisionalMembership {
    /** What peers tell ends with discovery's first answer after this time: some turns of its line, however full. */
    static final int HOLD_MS = 15_000;
    /** What an older list lifts, it lifts if it has stood for so long: longer than a list may be late. */
    static final int OLDER_LIST_MS = 10_000;
    /** A start further ahead than this, in milliseconds, is no clock that differs, but a mistake. */
    static final double MOST_AHEAD_MS = 10_000;
    /**
     * Of the versions that were told here, a message goes back so many: some of its receivers missed the one before.
     */
    private static final int VERSIONS_BACK = 4;

    /** What peers told is kept for others who missed it: so many messages. */
    private static final int MOST_RELAYED = 8;

    /** By whose word a server is used more carefully than discovery's last list has it. */
    private enum Source {
        /** A peer, which discovery has told a later version. */
        PEER,
        /** Discovery, by a list that was newer than its last one. */
        NEWER_LIST
    }

    /**
     * How a server is to be used in place of what discovery's last list has.
     *
     * @param drains whether it is left alone
     * @param bornMs when it last started
     * @param version discovery's word of it, or a later one, ends this
     * @param untilMs from then on any answer of discovery's ends it
     */
    private record Restriction(Source source, boolean drains, double bornMs, long version, double untilMs) {
        Endpoint applied(Endpoint member) {
            return new Endpoint(
                    member.id(),
                    member.zone(),
                    member.kind(),
                    member.cell(),
                    drains ? EndpointState.DRAINING : member.state(),
                    member.weight(),
                    Math.max(bornMs, member.startTimeMs()));
        }

        boolean endedBy(double nowMs, long version, Endpoint member) {
            boolean startedSince = source == Source.NEWER_LIST && member.startTimeMs() > bornMs;
            return this.version <= version || untilMs <= nowMs || member.state() != EndpointState.READY || startedSince;
        }
    }

    private record Relayed(ListUpdate update, double untilMs) {}

    private final int originKind;
    private final Map<Integer, Endpoint> told = new LinkedHashMap<>();
    private final Map<Integer, Restriction> restrictions = new LinkedHashMap<>();
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
    public void begin(long listVersion, List<Endpoint> members) {
        told.clear();
        restrictions.clear();
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
     * @return what to use in its place: the same kind of list, restricted as it should be, and with what becomes of
     *     servers whose restrictions have ended
     */
    public List<Endpoint> told(double nowMs, long listVersion, boolean whole, List<Endpoint> members) {
        if (listVersion < version) { // out of turn, or it numbers anew
            keepRestrictions(nowMs, members);
            restart(listVersion);
        }
        record(listVersion, whole, members);
        if (listVersion > version) {
            lastVersions[versions++ % VERSIONS_BACK] = version;
        }
        version = listVersion;
        known = Math.max(known, listVersion);
        relayed.removeIf(r -> r.update().version() <= listVersion);
        Map<Integer, Endpoint> used = new LinkedHashMap<>();
        members.forEach(m -> used.put(m.id(), m));
        for (int id : endedRestrictions(nowMs)) {
            restrictions.remove(id);
            if (told.containsKey(id)) {
                used.putIfAbsent(id, told.get(id));
            }
        }
        restrictions.forEach((id, restriction) -> used.computeIfPresent(id, (i, m) -> restriction.applied(m)));
        return List.copyOf(used.values());
    }

    /** Of servers that were told to drain or to be gone, and that an older list has ready. */
    private void keepRestrictions(double nowMs, List<Endpoint> olderList) {
        for (Endpoint older : olderList) {
            if (older.state() != EndpointState.READY) {
                continue;
            }
            ListChange last = log.last(older.id());
            Endpoint before = told.get(older.id());
            boolean drained = before != null ? before.state() != EndpointState.READY : last != null;
            double bornMs = before != null ? before.startTimeMs() : last != null ? last.bornMs() : 0;
            if (drained && older.startTimeMs() <= bornMs) { // else it has started since then
                restrictions.put(
                        older.id(), new Restriction(Source.NEWER_LIST, true, bornMs, version, nowMs + OLDER_LIST_MS));
            }
        }
    }

    private List<Integer> endedRestrictions(double nowMs) {
        List<Integer> ended = new ArrayList<>();
        restrictions.forEach((id, restriction) -> {
            Endpoint member = told.get(id);
            if (member == null || restriction.endedBy(nowMs, version, member)) {
                ended.add(id);
            }
        });
        return ended;
    }

    private void record(long listVersion, boolean whole, List<Endpoint> members) {
        Set<Integer> named = new HashSet<>();
        for (Endpoint m : members) {
            named.add(m.id());
            Endpoint before = m.state() == EndpointState.REMOVED ? told.remove(m.id()) : told.put(m.id(), m);
            if (before == null || before.state() != m.state() || before.startTimeMs() != m.startTimeMs()) {
                log.add(new ListChange(listVersion, m.id(), m.state(), m.startTimeMs()));
            }
        }
        if (whole) {
            for (Endpoint m : List.copyOf(told.values())) {
                if (!named.contains(m.id())) {
                    told.remove(m.id());
                    log.add(new ListChange(listVersion, m.id(), EndpointState.REMOVED, m.startTimeMs()));
                }
            }
        }
    }

    /** A peer tells what discovery told it. What comes back are changes to use at once. */
    public List<Endpoint> heard(double nowMs, ListUpdate update) {
        double untilMs = nowMs + Math.min(HOLD_MS, update.holdMs());
        if (update.version() <= version || untilMs <= nowMs) {
            return List.of();
        }
        keep(update, untilMs);
        if (update.after() <= known) {
            known = Math.max(known, update.version());
        }
        List<Endpoint> changed = new ArrayList<>();
        for (ListChange change : update.servers()) {
            Endpoint member = told.get(change.server());
            Restriction before = restrictions.get(change.server());
            Restriction next = member == null ? null : restriction(nowMs, untilMs, member, before, change);
            if (next != null) {
                restrictions.put(change.server(), next);
                if (before == null || !next.applied(member).equals(before.applied(member))) {
                    changed.add(next.applied(member));
                }
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

    /** How a server is to be used by a peer's word; null if that says nothing that counts here. */
    private Restriction restriction(
            double nowMs, double untilMs, Endpoint member, Restriction before, ListChange change) {
        if (member.kind() == originKind
                || member.state() != EndpointState.READY
                || change.bornMs() > nowMs + MOST_AHEAD_MS
                || (before != null && before.version() >= change.version())) {
            return null;
        }
        boolean drained = before != null && before.drains();
        double bornMs = before == null ? member.startTimeMs() : Math.max(before.bornMs(), member.startTimeMs());
        boolean drains = change.state() != EndpointState.READY;
        if (drains && !drained && !mayLeaveOneMore()) {
            return null;
        }
        return drains || change.bornMs() > bornMs
                ? new Restriction(
                        Source.PEER, drains || drained, Math.max(bornMs, change.bornMs()), change.version(), untilMs)
                : null;
    }

    private boolean mayLeaveOneMore() {
        long ready = told.values().stream()
                .filter(m -> m.state() == EndpointState.READY && m.kind() != originKind)
                .count();
        long left = restrictions.values().stream().filter(Restriction::drains).count();
        return 2 * (left + 1) <= ready;
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
