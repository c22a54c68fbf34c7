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
 * The endpoint list that this instance should use: discovery's list, restricted by newer changes that peers have passed
 * on. Discovery answers only a few polls per second, so when a fleet has to poll again, it takes many seconds until the
 * last instance is answered; with gossip, one answer serves all instances.
 *
 * <p>An endpoint receives requests only as far as discovery's own list allows; all other information can only restrict
 * it. A peer can cause a ready endpoint to be drained, or to be slow-started because it has restarted. It cannot add an
 * endpoint, as peers may reach it at another address, nor lift a restriction by discovery or another peer, nor,
 * together with others, drain more than half of the endpoints. An older list from discovery that arrives out of order
 * does not lift the restrictions of a newer one.
 *
 * <p>A {@link Restriction} ends with a list from discovery of its version or a later one. Because versions of two
 * numberings cannot be compared, and a peer may be wrong, it also ends with an answer from discovery after a time
 * limit. It never ends while discovery does not answer, because the change counts as known during that time. Times in
 * milliseconds of one clock; not thread-safe.
 */
public final class ProvisionalEndpoints {
    /**
     * The time after which discovery's next answer ends a restriction by peers; several rounds of discovery's queue,
     * even if it is full.
     */
    static final int PEER_UPDATE_TTL_MS = 15_000;
    /**
     * The time for which an older list has to be in effect before it lifts restrictions; longer than a list may be
     * delayed.
     */
    static final int OLDER_LIST_DELAY_MS = 10_000;
    /** The maximum time by which clocks may differ; a start time further in the future is an error. */
    static final double MAX_START_AHEAD_MS = 10_000;
    /**
     * The number of discovery's last versions whose changes are sent to peers, some of which have missed the previous
     * message.
     */
    private static final int RECENT_VERSIONS = 4;

    private final int originKind;
    /** Discovery's list by endpoint id. */
    private final Map<Integer, Endpoint> discovered = new LinkedHashMap<>();

    private final Map<Integer, Restriction> restrictions = new LinkedHashMap<>();
    private final ChangeLog changeLog = new ChangeLog();
    private final RelayedDeltas relayed = new RelayedDeltas();
    /** The versions held before the current one; a ring buffer. */
    private final long[] previousVersions = new long[RECENT_VERSIONS];

    private int versionCount;
    /** The version of discovery's list. */
    private long version;

    private long knownVersion;

    /**
     * Starts without endpoints.
     *
     * @param originKind the kind of endpoint that peers cannot restrict; negative for none
     */
    public ProvisionalEndpoints(int originKind) {
        this.originKind = originKind;
    }

    /** Replaces all state by a list from before the start of this process. */
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

    /** Returns the version up to which all changes are known here, from discovery or from peers. */
    public long knownVersion() {
        return knownVersion;
    }

    // ---- from discovery

    /**
     * Discovery has sent its list, or changes of it.
     *
     * @param snapshot whether the list is complete
     * @return the endpoints to use instead: the list as complete as it was, restricted, together with the endpoints
     *     whose restrictions have ended
     */
    public List<Endpoint> onDiscoveryUpdate(
            double nowMs, long listVersion, boolean snapshot, List<Endpoint> endpoints) {
        if (listVersion < version) { // out of order, or discovery has restarted its numbering
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

    /** Keeps endpoints drained that the held list has drained or removed and an older list has as ready. */
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
            if (drained && older.startTimeMs() <= startTimeMs) { // otherwise it has restarted since then
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
     * A peer passes on changes that it received from discovery or from another peer.
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

    /**
     * Returns the restriction that follows from a peer's change; null if there is none, or none beyond the previous
     * one.
     */
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
        if (!(drains || change.startTimeMs() > startTimeMs)) { // also true if the start time is NaN
            return null;
        }
        return new Restriction(
                Source.PEER,
                drains || drainedBefore,
                Math.max(startTimeMs, change.startTimeMs()),
                change.version(),
                untilMs);
    }

    /** Whether one more endpoint may be drained: at most half of the endpoints that discovery has as ready. */
    private boolean mayDrainOneMore() {
        long ready = discovered.values().stream()
                .filter(e -> e.state() == EndpointState.READY && e.kind() != originKind)
                .count();
        long drained =
                restrictions.values().stream().filter(Restriction::draining).count();
        return 2 * (drained + 1) <= ready;
    }

    // ---- to peers

    /**
     * Returns the changes of discovery's last versions as one message for peers; if they do not all fit, the newest.
     */
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

    /**
     * Returns the changes that a peer with this version has missed, as messages: first those from discovery, then those
     * from peers.
     */
    public List<EndpointListDelta> changesSince(double nowMs, long heldVersion) {
        List<EndpointListDelta> deltas = new ArrayList<>();
        List<EndpointChange> changes = changeLog.after(heldVersion);
        for (int from = 0; from < changes.size(); from += EndpointListDelta.MAX_CHANGES) {
            int to = Math.min(changes.size(), from + EndpointListDelta.MAX_CHANGES);
            // Only the last message claims that no earlier change is missing.
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
