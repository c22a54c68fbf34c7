package cacheproxy.proxy.discovery;

import cacheproxy.gossip.ListUpdate;
import cacheproxy.gossip.ProvisionalMembership;
import cacheproxy.gossip.StartTimes;
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
 * Stands between discovery and whoever uses the list, and carries out what {@link ProvisionalMembership} makes of it:
 * what peers were told restricts it until discovery's own word comes. Keeps the servers' addresses, which peers do not
 * tell. On the event loop only.
 */
public final class ProvisionalList implements DiscoveryClient.Listener {
    /** Who uses the list. */
    public interface User {
        /** The list, changes of it, or what peers tell of it ({@code PROVISIONAL}). What can't be used throws. */
        void listed(EndpointUpdateKind kind, List<Host> hosts);

        /** The list has changed: to which version, by whose word, and what of it, in words for people. */
        void changed(String what);

        /** What discovery has told up to this version is in use. */
        void inUse(long version);

        /** Discovery is being asked. */
        void called();

        /** A call has failed: why, in words for people. */
        void callFailed(String why);

        /** Something of an answer was left out: what, in words for people. */
        void leftOut(String what);
    }

    /** Of the servers in a state, so many are named in a line for people. */
    private static final int MOST_NAMES = 12;

    private final User user;
    private final ProvisionalMembership membership;
    private final DoubleSupplier nowMs;
    private final StartTimes startTimes = new StartTimes();
    private final Map<Integer, Host> hosts = new HashMap<>();

    /** {@code nowMs}: the user's clock. */
    public ProvisionalList(User user, ProvisionalMembership membership, DoubleSupplier nowMs) {
        this.user = user;
        this.membership = membership;
        this.nowMs = nowMs;
    }

    /** What is known of the list, by discovery or by peers. */
    public ProvisionalMembership membership() {
        return membership;
    }

    @Override
    public void listed(EndpointUpdateKind kind, long version, List<Host> list) {
        if (kind.isSnapshot()) {
            hosts.clear();
        }
        List<Endpoint> members = new ArrayList<>();
        for (Host host : list) {
            hosts.put(host.member().id(), host);
            members.add(host.member());
        }
        double now = nowMs.getAsDouble();
        if (kind == EndpointUpdateKind.CACHED) {
            membership.begin(version, members);
            user.listed(kind, hosts(startTimes.begin(now, members)));
        } else {
            List<Endpoint> used = membership.told(now, version, kind.isSnapshot(), members);
            user.listed(kind, hosts(startTimes.told(now, used)));
            user.inUse(version);
            changed("version " + version + " by discovery" + (kind.isSnapshot() ? ", whole" : ""), used);
        }
        hosts.values().removeIf(host -> host.member().state() == EndpointState.REMOVED);
    }

    /** A peer tells what discovery told it. */
    public void heard(double nowMs, int peer, ListUpdate update) {
        List<Endpoint> changed = membership.heard(nowMs, update);
        if (!changed.isEmpty()) {
            user.listed(EndpointUpdateKind.PROVISIONAL, hosts(startTimes.timed(nowMs, changed)));
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
        user.changed(line.toString());
    }

    private List<Host> hosts(List<Endpoint> members) {
        List<Host> used = new ArrayList<>();
        for (Endpoint member : members) {
            Host host = hosts.get(member.id());
            used.add(new Host(member, host.dial(), host.server()));
        }
        return used;
    }

    @Override
    public void called() {
        user.called();
    }

    @Override
    public void callFailed(String why) {
        user.callFailed(why);
    }

    @Override
    public void leftOut(String what) {
        user.leftOut(what);
    }
}
