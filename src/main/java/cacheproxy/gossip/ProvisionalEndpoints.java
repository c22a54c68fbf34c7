package cacheproxy.gossip;

import cacheproxy.gossip.Restriction.Source;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoint list as this instance should use it: discovery's, restricted by newer changes that peers have passed on.
 * Discovery takes few polls a second, and a fleet that has to poll it anew needs many seconds until the last instance
 * is answered; one answer, passed on, serves all.
 *
 * <p>An endpoint gets requests only as discovery's own list allows; all else restricts. A peer can have a ready
 * endpoint drained, or slow-started as one that has started later. It can add none, as peers may reach it at another
 * address, nor undo what discovery or a peer has restricted, nor, with others, drain more than half of the endpoints.
 * An older list of discovery's, out of turn, does not lift what a newer one has restricted.
 *
 * <p>A {@link Restriction} ends with a list of discovery's of its version or a later one. As versions of two numberings
 * can't be compared, and a peer may be wrong, it also ends once it is old and discovery answers; never while discovery
 * is silent, as the change counts as known then. Times in milliseconds of one clock; not thread-safe.
 */
public final class ProvisionalEndpoints {
    /** What peers pass on ends with discovery's first answer after this time: some turns of its queue, however full. */
    static final int PEER_UPDATE_TTL_MS = 15_000;
    /** What an older list lifts is lifted once that list has stood for so long: longer than a list may be late. */
    static final int OLDER_LIST_DELAY_MS = 10_000;
    /** A start time further ahead than this is a mistake, and not a clock that differs. */
    static final double MAX_START_AHEAD_MS = 10_000;
    /** Peers are sent the changes of so many versions of discovery's: some have missed the message before. */
    private static final int RECENT_VERSIONS = 4;

    private final int originKind;
    /** Discovery's list, by endpoint id. */
    private final Map<Integer, Endpoint> discovered = new LinkedHashMap<>();

    private final Map<Integer, Restriction> restrictions = new LinkedHashMap<>();
    private final ChangeLog changeLog = new ChangeLog();
    private final RelayedDeltas relayed = new RelayedDeltas();
    /** The versions that were held before the present one; a ring. */
    private final long[] previousVersions = new long[RECENT_VERSIONS];

    private int versionCount;
    /** Of discovery's list. */
    private long version;

    private long knownVersion;

    /**
     * Without an endpoint yet.
     *
     * @param originKind the kind of endpoint that peers can't restrict; negative for none
     */
    public ProvisionalEndpoints(int originKind) {
        this.originKind = originKind;
    }

    /** Takes a list from before the start in place of all that is held. */
    public void reset(long listVersion, List<Endpoint> endpoints) {
        discovered.clear();
        restrictions.clear();
        endpoints.forEach(e -> discovered.put(e.id(), e));
        restartVersions(listVersion);
    }

    private void restartVersions(long listVersion) {
        version = listVersion;
        knownVersion = listVersion;
        changeLog.clear(listVersion);
        relayed.clear();
        versionCount = 0;
    }

    /** The version up to which all changes are known here, by discovery or by peers. */
    public long knownVersion() {
        return knownVersion;
    }

    // ---- from discovery

    /**
     * Discovery has sent its list, or changes of it.
     *
     * @param snapshot whether the list is complete
     * @return what to use in its place: as complete, restricted, and with the endpoints whose restrictions have ended
     */
    public List<Endpoint> onDiscoveryUpdate(
            double nowMs, long listVersion, boolean snapshot, List<Endpoint> endpoints) {
        if (listVersion < version) { // out of turn, or discovery numbers anew
            restrictByNewerList(nowMs, endpoints);
            restartVersions(listVersion);
        }
        store(listVersion, snapshot, endpoints);
        if (listVersion > version) {
            previousVersions[versionCount++ % RECENT_VERSIONS] = version;
        }
        version = listVersion;
        knownVersion = Math.max(knownVersion, listVersion);
        relayed.removeUpTo(listVersion);
        return restricted(nowMs, endpoints);
    }

    /** Keeps drained what the list that is held has drained or removed, and an older list has ready. */
    private void restrictByNewerList(double nowMs, List<Endpoint> olderList) {
        for (Endpoint older : olderList) {
            if (older.state() != EndpointState.READY) {
                continue;
            }
            EndpointChange lastChange = changeLog.last(older.id());
            Endpoint newer = discovered.get(older.id());
            boolean drained = newer != null ? newer.state() != EndpointState.READY : lastChange != null;
            double startTimeMs =
                    newer != null ? newer.startTimeMs() : lastChange != null ? lastChange.startTimeMs() : 0;
            if (drained && older.startTimeMs() <= startTimeMs) { // else it has started since then
                double untilMs = nowMs + OLDER_LIST_DELAY_MS;
                restrictions.put(older.id(), new Restriction(Source.NEWER_LIST, true, startTimeMs, version, untilMs));
            }
        }
    }

    private void store(long listVersion, boolean snapshot, List<Endpoint> endpoints) {
        Set<Integer> listed = new HashSet<>();
        for (Endpoint e : endpoints) {
            listed.add(e.id());
            Endpoint before =
                    e.state() == EndpointState.REMOVED ? discovered.remove(e.id()) : discovered.put(e.id(), e);
            if (before == null || before.state() != e.state() || before.startTimeMs() != e.startTimeMs()) {
                changeLog.add(new EndpointChange(listVersion, e.id(), e.state(), e.startTimeMs()));
            }
        }
        if (snapshot) {
            removeUnlisted(listed, listVersion);
        }
    }

    private void removeUnlisted(Set<Integer> listed, long listVersion) {
        for (Endpoint e : List.copyOf(discovered.values())) {
            if (!listed.contains(e.id())) {
                discovered.remove(e.id());
                changeLog.add(new EndpointChange(listVersion, e.id(), EndpointState.REMOVED, e.startTimeMs()));
            }
        }
    }

    private List<Endpoint> restricted(double nowMs, List<Endpoint> endpoints) {
        Map<Integer, Endpoint> effective = new LinkedHashMap<>();
        endpoints.forEach(e -> effective.put(e.id(), e));
        for (int id : endedRestrictions(nowMs)) {
            restrictions.remove(id);
            if (discovered.containsKey(id)) {
                effective.putIfAbsent(id, discovered.get(id));
            }
        }
        restrictions.forEach((id, restriction) -> effective.computeIfPresent(id, (i, e) -> restriction.appliedTo(e)));
        return List.copyOf(effective.values());
    }

    private List<Integer> endedRestrictions(double nowMs) {
        List<Integer> ended = new ArrayList<>();
        restrictions.forEach((id, restriction) -> {
            Endpoint endpoint = discovered.get(id);
            if (endpoint == null || restriction.isEndedBy(nowMs, version, endpoint)) {
                ended.add(id);
            }
        });
        return ended;
    }

    // ---- from peers

    /**
     * A peer passes on what it had of discovery, or of another peer.
     *
     * @return the endpoints that are to be used differently from now on
     */
    public List<Endpoint> onPeerUpdate(double nowMs, EndpointListDelta delta) {
        double untilMs = nowMs + Math.min(PEER_UPDATE_TTL_MS, delta.ttlMs());
        if (delta.version() <= version || untilMs <= nowMs) {
            return List.of();
        }
        relayed.add(delta, untilMs);
        if (delta.afterVersion() <= knownVersion) {
            knownVersion = Math.max(knownVersion, delta.version());
        }
        List<Endpoint> changed = new ArrayList<>();
        for (EndpointChange change : delta.changes()) {
            Endpoint endpoint = discovered.get(change.endpointId());
            Restriction before = restrictions.get(change.endpointId());
            Restriction next = endpoint == null ? null : restriction(nowMs, untilMs, endpoint, before, change);
            if (next != null) {
                restrictions.put(change.endpointId(), next);
                if (before == null || !next.appliedTo(endpoint).equals(before.appliedTo(endpoint))) {
                    changed.add(next.appliedTo(endpoint));
                }
            }
        }
        return changed;
    }

    /** The restriction that a peer's change brings; null if it brings none, or none beyond the one before. */
    private Restriction restriction(
            double nowMs, double untilMs, Endpoint endpoint, Restriction before, EndpointChange change) {
        if (endpoint.kind() == originKind
                || endpoint.state() != EndpointState.READY
                || change.startTimeMs() > nowMs + MAX_START_AHEAD_MS
                || (before != null && before.version() >= change.version())) {
            return null;
        }
        boolean drainedBefore = before != null && before.draining();
        double startTimeMs =
                before == null ? endpoint.startTimeMs() : Math.max(before.startTimeMs(), endpoint.startTimeMs());
        boolean drains = change.state() != EndpointState.READY;
        if (drains && !drainedBefore && !mayDrainOneMore()) {
            return null;
        }
        if (!(drains || change.startTimeMs() > startTimeMs)) { // also for one that is not a number
            return null;
        }
        return new Restriction(
                Source.PEER,
                drains || drainedBefore,
                Math.max(startTimeMs, change.startTimeMs()),
                change.version(),
                untilMs);
    }

    /** At most half of the endpoints that discovery has ready. */
    private boolean mayDrainOneMore() {
        long ready = discovered.values().stream()
                .filter(e -> e.state() == EndpointState.READY && e.kind() != originKind)
                .count();
        long drained =
                restrictions.values().stream().filter(Restriction::draining).count();
        return 2 * (drained + 1) <= ready;
    }

    // ---- to peers

    /** What peers are sent of discovery's last versions, as one message: as many of the newest changes as it holds. */
    public EndpointListDelta recentChanges() {
        long sinceVersion = oldestRecentVersion();
        List<EndpointChange> changes = changeLog.after(sinceVersion);
        int dropped = Math.max(0, changes.size() - EndpointListDelta.MAX_CHANGES);
        long afterVersion = dropped == 0
                ? completeAfter(sinceVersion)
                : changes.get(dropped - 1).version();
        List<EndpointChange> newest = changes.subList(dropped, changes.size());
        return new EndpointListDelta(afterVersion, version, PEER_UPDATE_TTL_MS, newest);
    }

    private long oldestRecentVersion() {
        if (versionCount == 0) {
            return version;
        }
        return previousVersions[versionCount < RECENT_VERSIONS ? 0 : versionCount % RECENT_VERSIONS];
    }

    /** What a peer that holds this version has missed, as messages, by discovery and then by peers. */
    public List<EndpointListDelta> changesSince(double nowMs, long heldVersion) {
        List<EndpointListDelta> deltas = new ArrayList<>();
        List<EndpointChange> changes = changeLog.after(heldVersion);
        for (int from = 0; from < changes.size(); from += EndpointListDelta.MAX_CHANGES) {
            int to = Math.min(changes.size(), from + EndpointListDelta.MAX_CHANGES);
            // Only the last message says that nothing is missing before it.
            long afterVersion = to == changes.size() ? completeAfter(heldVersion) : version;
            deltas.add(new EndpointListDelta(afterVersion, version, PEER_UPDATE_TTL_MS, changes.subList(from, to)));
        }
        deltas.addAll(relayed.after(heldVersion, nowMs));
        return deltas;
    }

    private long completeAfter(long heldVersion) {
        return Math.min(version, Math.max(heldVersion, changeLog.completeAfter()));
    }
}
