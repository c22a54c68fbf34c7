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
public final class ProvisionalEndpoints {
    /** What peers tell ends with discovery's first answer after this time: some turns of its line, however full. */
    static final int PEER_UPDATE_TTL_MS = 15_000;
    /** What an older list lifts, it lifts if it has stood for so long: longer than a list may be late. */
    static final int OLDER_LIST_DELAY_MS = 10_000;
    /** A start further ahead than this, in milliseconds, is no clock that differs, but a mistake. */
    static final double MAX_START_AHEAD_MS = 10_000;
    /**
     * Of the versions that were told here, a message goes back so many: some of its receivers missed the one before.
     */
    private static final int RECENT_VERSIONS = 4;

    /** What peers told is kept for others who missed it: so many messages. */
    private static final int MAX_RELAYED_UPDATES = 8;

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
     * @param draining whether it is left alone
     * @param startTimeMs when it last started
     * @param version discovery's word of it, or a later one, ends this
     * @param untilMs from then on any answer of discovery's ends it
     */
    private record Restriction(Source source, boolean draining, double startTimeMs, long version, double untilMs) {
        Endpoint appliedTo(Endpoint member) {
            return new Endpoint(
                    member.id(),
                    member.zone(),
                    member.kind(),
                    member.cell(),
                    draining ? EndpointState.DRAINING : member.state(),
                    member.weight(),
                    Math.max(startTimeMs, member.startTimeMs()));
        }

        boolean endedBy(double nowMs, long version, Endpoint member) {
            boolean startedSince = source == Source.NEWER_LIST && member.startTimeMs() > startTimeMs;
            return this.version <= version || untilMs <= nowMs || member.state() != EndpointState.READY || startedSince;
        }
    }

    private record Relayed(EndpointListDelta update, double untilMs) {}

    private final int originKind;
    private final Map<Integer, Endpoint> onDiscoveryUpdate = new LinkedHashMap<>();
    private final Map<Integer, Restriction> restrictions = new LinkedHashMap<>();
    private final ChangeLog log = new ChangeLog();
    private final Deque<Relayed> relayed = new ArrayDeque<>();
    private final long[] lastVersions = new long[RECENT_VERSIONS];
    private int versions;
    private long version;
    private long knownVersion;

    /** Knows of no server yet. {@code originKind}: the kind whose servers peers can't change; negative for none. */
    public ProvisionalEndpoints(int originKind) {
        this.originKind = originKind;
    }

    /** The list that this proxy starts with. */
    public void reset(long listVersion, List<Endpoint> members) {
        onDiscoveryUpdate.clear();
        restrictions.clear();
        members.forEach(m -> onDiscoveryUpdate.put(m.id(), m));
        restart(listVersion);
    }

    private void restart(long listVersion) {
        version = listVersion;
        knownVersion = listVersion;
        log.clear(listVersion);
        relayed.clear();
        versions = 0;
    }

    /** The version up to which all changes are known here, by discovery or by peers. */
    public long knownVersion() {
        return knownVersion;
    }

    /**
     * Discovery has told the list, or changes of it.
     *
     * @return what to use in its place: the same kind of list, restricted as it should be, and with what becomes of
     *     servers whose restrictions have ended
     */
    public List<Endpoint> onDiscoveryUpdate(double nowMs, long listVersion, boolean whole, List<Endpoint> members) {
        if (listVersion < version) { // out of turn, or it numbers anew
            keepRestrictions(nowMs, members);
            restart(listVersion);
        }
        record(listVersion, whole, members);
        if (listVersion > version) {
            lastVersions[versions++ % RECENT_VERSIONS] = version;
        }
        version = listVersion;
        knownVersion = Math.max(knownVersion, listVersion);
        relayed.removeIf(r -> r.update().version() <= listVersion);
        Map<Integer, Endpoint> used = new LinkedHashMap<>();
        members.forEach(m -> used.put(m.id(), m));
        for (int id : endedRestrictions(nowMs)) {
            restrictions.remove(id);
            if (onDiscoveryUpdate.containsKey(id)) {
                used.putIfAbsent(id, onDiscoveryUpdate.get(id));
            }
        }
        restrictions.forEach((id, restriction) -> used.computeIfPresent(id, (i, m) -> restriction.appliedTo(m)));
        return List.copyOf(used.values());
    }

    /** Of servers that were told to drain or to be gone, and that an older list has ready. */
    private void keepRestrictions(double nowMs, List<Endpoint> olderList) {
        for (Endpoint older : olderList) {
            if (older.state() != EndpointState.READY) {
                continue;
            }
            EndpointChange last = log.last(older.id());
            Endpoint before = onDiscoveryUpdate.get(older.id());
            boolean drained = before != null ? before.state() != EndpointState.READY : last != null;
            double bornMs = before != null ? before.startTimeMs() : last != null ? last.startTimeMs() : 0;
            if (drained && older.startTimeMs() <= bornMs) { // else it has started since then
                restrictions.put(
                        older.id(),
                        new Restriction(Source.NEWER_LIST, true, bornMs, version, nowMs + OLDER_LIST_DELAY_MS));
            }
        }
    }

    private List<Integer> endedRestrictions(double nowMs) {
        List<Integer> ended = new ArrayList<>();
        restrictions.forEach((id, restriction) -> {
            Endpoint member = onDiscoveryUpdate.get(id);
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
            Endpoint before = m.state() == EndpointState.REMOVED
                    ? onDiscoveryUpdate.remove(m.id())
                    : onDiscoveryUpdate.put(m.id(), m);
            if (before == null || before.state() != m.state() || before.startTimeMs() != m.startTimeMs()) {
                log.add(new EndpointChange(listVersion, m.id(), m.state(), m.startTimeMs()));
            }
        }
        if (whole) {
            for (Endpoint m : List.copyOf(onDiscoveryUpdate.values())) {
                if (!named.contains(m.id())) {
                    onDiscoveryUpdate.remove(m.id());
                    log.add(new EndpointChange(listVersion, m.id(), EndpointState.REMOVED, m.startTimeMs()));
                }
            }
        }
    }

    /** A peer tells what discovery told it. What comes back are changes to use at once. */
    public List<Endpoint> onPeerUpdate(double nowMs, EndpointListDelta update) {
        double untilMs = nowMs + Math.min(PEER_UPDATE_TTL_MS, update.ttlMs());
        if (update.version() <= version || untilMs <= nowMs) {
            return List.of();
        }
        keep(update, untilMs);
        if (update.afterVersion() <= knownVersion) {
            knownVersion = Math.max(knownVersion, update.version());
        }
        List<Endpoint> changed = new ArrayList<>();
        for (EndpointChange change : update.changes()) {
            Endpoint member = onDiscoveryUpdate.get(change.endpointId());
            Restriction before = restrictions.get(change.endpointId());
            Restriction next = member == null ? null : restriction(nowMs, untilMs, member, before, change);
            if (next != null) {
                restrictions.put(change.endpointId(), next);
                if (before == null || !next.appliedTo(member).equals(before.appliedTo(member))) {
                    changed.add(next.appliedTo(member));
                }
            }
        }
        return changed;
    }

    /** One message of a version, as different ones of it differ little. */
    private void keep(EndpointListDelta update, double untilMs) {
        boolean held = relayed.stream()
                .anyMatch(r -> r.update().version() == update.version()
                        && r.update().afterVersion() <= update.afterVersion()
                        && r.untilMs() >= untilMs);
        if (!held) {
            relayed.addLast(new Relayed(update, untilMs));
            if (relayed.size() > MAX_RELAYED_UPDATES) {
                relayed.removeFirst();
            }
        }
    }

    /** How a server is to be used by a peer's word; null if that says nothing that counts here. */
    private Restriction restriction(
            double nowMs, double untilMs, Endpoint member, Restriction before, EndpointChange change) {
        if (member.kind() == originKind
                || member.state() != EndpointState.READY
                || change.startTimeMs() > nowMs + MAX_START_AHEAD_MS
                || (before != null && before.version() >= change.version())) {
            return null;
        }
        boolean drained = before != null && before.draining();
        double bornMs = before == null ? member.startTimeMs() : Math.max(before.startTimeMs(), member.startTimeMs());
        boolean drains = change.state() != EndpointState.READY;
        if (drains && !drained && !mayLeaveOneMore()) {
            return null;
        }
        return drains || change.startTimeMs() > bornMs
                ? new Restriction(
                        Source.PEER,
                        drains || drained,
                        Math.max(bornMs, change.startTimeMs()),
                        change.version(),
                        untilMs)
                : null;
    }

    private boolean mayLeaveOneMore() {
        long ready = onDiscoveryUpdate.values().stream()
                .filter(m -> m.state() == EndpointState.READY && m.kind() != originKind)
                .count();
        long left = restrictions.values().stream().filter(Restriction::draining).count();
        return 2 * (left + 1) <= ready;
    }

    /** What peers are told of the version that discovery told last, and of some before it: one message. */
    public EndpointListDelta recentChanges() {
        long back = versions == 0 ? version : lastVersions[versions < RECENT_VERSIONS ? 0 : versions % RECENT_VERSIONS];
        List<EndpointChange> changes = log.after(back);
        int dropped = Math.max(0, changes.size() - EndpointListDelta.MAX_CHANGES);
        long after =
                dropped == 0 ? completeAfter(back) : changes.get(dropped - 1).version();
        return new EndpointListDelta(after, version, PEER_UPDATE_TTL_MS, changes.subList(dropped, changes.size()));
    }

    /** What a peer that knows this version has missed, as messages to send; none if it is none. */
    public List<EndpointListDelta> changesSince(double nowMs, long held) {
        List<EndpointListDelta> updates = new ArrayList<>();
        List<EndpointChange> changes = log.after(held);
        for (int from = 0; from < changes.size(); from += EndpointListDelta.MAX_CHANGES) {
            int to = Math.min(changes.size(), from + EndpointListDelta.MAX_CHANGES);
            // Only the last one claims that nothing is missing before it.
            long after = to == changes.size() ? completeAfter(held) : version;
            updates.add(new EndpointListDelta(after, version, PEER_UPDATE_TTL_MS, changes.subList(from, to)));
        }
        for (Relayed r : relayed) {
            EndpointListDelta update = r.update();
            int left = (int) (r.untilMs() - nowMs);
            if (update.version() > held && left > 0) {
                updates.add(new EndpointListDelta(update.afterVersion(), update.version(), left, update.changes()));
            }
        }
        return updates;
    }

    private long completeAfter(long held) {
        return Math.min(version, Math.max(held, log.completeAfter()));
    }
}
