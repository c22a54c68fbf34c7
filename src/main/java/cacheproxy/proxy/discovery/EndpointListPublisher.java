package cacheproxy.proxy.discovery;

import cacheproxy.gossip.EndpointListDelta;
import cacheproxy.gossip.LocalStartTimes;
import cacheproxy.gossip.ProvisionalEndpoints;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Stands between discovery and whoever uses the list, and carries out what {@link ProvisionalEndpoints} makes of it:
 * what peers were told restricts it until discovery's own word comes. Keeps the servers' addresses, which peers do not
 * tell. On the event loop only.
 */
public final class EndpointListPublisher implements DiscoveryClient.Listener {
    /** Who uses the list. */
    public interface Subscriber {
        /** The list, changes of it, or what peers tell of it ({@code PROVISIONAL}). What can't be used throws. */
        void onEndpoints(EndpointUpdateKind kind, List<DiscoveredEndpoint> hosts);

        /** The list has changed: to which version, by whose word, and what of it, in words for people. */
        void onListChanged(String what);

        /** What discovery has told up to this version is in use. */
        void onListApplied(long version);

        /** Discovery is being asked. */
        void onPollStarted();

        /** A call has failed: why, in words for people. */
        void onPollFailed(String why);

        /** Something of an answer was left out: what, in words for people. */
        void onEntryRejected(String what);
    }

    /** Of the servers in a state, so many are named in a line for people. */
    private static final int MOST_NAMES = 12;

    private final Subscriber user;
    private final ProvisionalEndpoints provisionalEndpoints;
    private final DoubleSupplier nowMs;
    private final LocalStartTimes startTimes = new LocalStartTimes();
    private final Map<Integer, DiscoveredEndpoint> hosts = new HashMap<>();

    /** {@code nowMs}: the user's clock. */
    public EndpointListPublisher(Subscriber user, ProvisionalEndpoints membership, DoubleSupplier nowMs) {
        this.user = user;
        this.provisionalEndpoints = membership;
        this.nowMs = nowMs;
    }

    /** What is known of the list, by discovery or by peers. */
    public ProvisionalEndpoints provisionalEndpoints() {
        return provisionalEndpoints;
    }

    @Override
    public void onEndpoints(EndpointUpdateKind kind, long version, List<DiscoveredEndpoint> list) {
        if (kind.isSnapshot()) {
            hosts.clear();
        }
        List<Endpoint> members = new ArrayList<>();
        for (DiscoveredEndpoint host : list) {
            hosts.put(host.endpoint().id(), host);
            members.add(host.endpoint());
        }
        double now = nowMs.getAsDouble();
        if (kind == EndpointUpdateKind.CACHED) {
            provisionalEndpoints.reset(version, members);
            user.onEndpoints(kind, hosts(startTimes.reset(now, members)));
        } else {
            List<Endpoint> used = provisionalEndpoints.onDiscoveryUpdate(now, version, kind.isSnapshot(), members);
            user.onEndpoints(kind, hosts(startTimes.onUpdate(now, used)));
            user.onListApplied(version);
            changed("version " + version + " by discovery" + (kind.isSnapshot() ? ", whole" : ""), used);
        }
        hosts.values().removeIf(host -> host.endpoint().state() == EndpointState.REMOVED);
    }

    /** A peer tells what discovery told it. */
    public void onPeerUpdate(double nowMs, int peer, EndpointListDelta update) {
        List<Endpoint> changed = provisionalEndpoints.onPeerUpdate(nowMs, update);
        if (!changed.isEmpty()) {
            user.onEndpoints(EndpointUpdateKind.PROVISIONAL, hosts(startTimes.withLocalStartTimes(nowMs, changed)));
            changed("version " + update.version() + " by peer " + peer, changed);
        }
    }

    private void changed(String version, List<Endpoint> members) {
        if (members.isEmpty()) {
            return;
        }
        StringBuilder line = new StringBuilder(version);
        for (EndpointState state : EndpointState.values()) {
            List<Endpoint> these =
                    members.stream().filter(m -> m.state() == state).toList();
            if (!these.isEmpty()) {
                line.append(", ")
                        .append(these.size())
                        .append(' ')
                        .append(state.name().toLowerCase(Locale.ROOT));
                these.stream().limit(MOST_NAMES).forEach(m -> line.append(' ').append(Integer.toHexString(m.id())));
            }
        }
        user.onListChanged(line.toString());
    }

    private List<DiscoveredEndpoint> hosts(List<Endpoint> members) {
        List<DiscoveredEndpoint> used = new ArrayList<>();
        for (Endpoint member : members) {
            DiscoveredEndpoint host = hosts.get(member.id());
            used.add(new DiscoveredEndpoint(member, host.address(), host.attributes()));
        }
        return used;
    }

    @Override
    public void onPollStarted() {
        user.onPollStarted();
    }

    @Override
    public void onPollFailed(String why) {
        user.onPollFailed(why);
    }

    @Override
    public void onEntryRejected(String what) {
        user.onEntryRejected(what);
    }
}
