package damsonworks.proxy.discovery;

import damsonworks.RoutingApi.ListKind;
import damsonworks.RoutingApi.Member;
import damsonworks.RoutingApi.State;
import damsonworks.peer.ListUpdate;
import damsonworks.peer.ProvisionalMembership;
import damsonworks.peer.StartTimes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Stands between discovery and whoever uses the list, and carries out what {@link ProvisionalMembership} makes of it:
 * what peers were told restricts it until discovery's own word comes. Keeps the servers' addresses, which peers do not
 * tell. On the event loop only.
 */
public final class ProvisionalList implements DiscoveryClient.Listener {
    private final DiscoveryClient.Listener next;
    private final ProvisionalMembership membership;
    private final DoubleSupplier nowMs;
    private final StartTimes startTimes = new StartTimes();
    private final Map<Integer, Host> hosts = new HashMap<>();
    private long version;

    /** Passes all on to {@code next}; {@code nowMs}: its clock. */
    public ProvisionalList(DiscoveryClient.Listener next, ProvisionalMembership membership, DoubleSupplier nowMs) {
        this.nowMs = nowMs;
        this.next = next;
        this.membership = membership;
    }

    /** What is known of the list, by discovery or by peers. */
    public ProvisionalMembership membership() {
        return membership;
    }

    @Override
    public void listed(ListKind kind, List<Host> list) {
        if (kind == ListKind.FAILED) {
            next.listed(kind, list);
            return;
        }
        if (kind.whole()) {
            hosts.clear();
        }
        List<Member> members = new ArrayList<>();
        for (Host host : list) {
            hosts.put(host.member().id(), host);
            members.add(host.member());
        }
        if (kind == ListKind.CACHED) {
            membership.begin(version, members);
            next.listed(kind, hosts(startTimes.begin(nowMs.getAsDouble(), members)));
        } else {
            double now = nowMs.getAsDouble();
            List<Member> used = membership.told(now, version, kind.whole(), members);
            next.listed(kind, hosts(startTimes.told(now, used)));
        }
        hosts.values().removeIf(host -> host.member().state() == State.GONE);
    }

    /** A peer tells what discovery told it. */
    public void heard(double nowMs, ListUpdate update) {
        List<Member> changed = membership.heard(nowMs, update);
        if (!changed.isEmpty()) {
            next.listed(ListKind.PROVISIONAL, hosts(startTimes.timed(nowMs, changed)));
        }
    }

    private List<Host> hosts(List<Member> members) {
        List<Host> used = new ArrayList<>();
        for (Member member : members) {
            Host host = hosts.get(member.id());
            used.add(new Host(member, host.dial(), host.server()));
        }
        return used;
    }

    @Override
    public void called() {
        next.called();
    }

    /** Comes before the list of that version. */
    @Override
    public void version(long seq) {
        version = seq;
        next.version(seq);
    }

    @Override
    public void begin(long seq) {
        version = seq;
    }

    @Override
    public void log(String line) {
        next.log(line);
    }
}
