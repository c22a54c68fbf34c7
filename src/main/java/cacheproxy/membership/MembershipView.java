package cacheproxy.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one instance knows of the fleet at one point in time; immutable. It is advisory: instances that reach each other
 * soon know the same, but not before that, and not across a partition. For this reason there are two distinct types of
 * counts: {@link #liveMembers()} for what may save work, {@link #configuredMembers()} for safety rules.
 *
 * @param self the number of the instance whose view this is
 * @param atMs when the view was taken, by the instance's own clock, in milliseconds
 * @param members all known members, by number
 * @param digest equal for instances that know the same
 * @param configuredMembers the number of configured members; null if they join through seeds
 * @param disputed whether another process appears to run under the instance's number
 */
public record MembershipView(
        int self,
        double atMs,
        List<Member> members,
        int digest,
        ConfiguredMembers configuredMembers,
        boolean disputed) {
    /** Checks that the view contains the instance itself. */
    public MembershipView {
        members = List.copyOf(members);
        if (members.stream().noneMatch(e -> e.id() == self)) {
            throw new IllegalArgumentException("view does not contain its own instance");
        }
    }

    /** Returns the number of live members, including the instance itself. */
    public LiveMembers liveMembers() {
        return new LiveMembers(1
                + (int) members.stream()
                        .filter(e -> e.id() != self && e.state().isLive())
                        .count());
    }

    /**
     * Returns which part of the configured fleet the instance reaches; of all known members if they join through seeds.
     */
    public Reachability reachability() {
        int all = configuredMembers == null ? members.size() : configuredMembers.count();
        return Reachability.of(
                (int) members.stream()
                        .filter(e -> e.state() == MemberState.ALIVE
                                && (configuredMembers == null || e.id() < configuredMembers.count()))
                        .count(),
                all);
    }

    /** Returns the reachability of each zone that members have announced. */
    public Map<Integer, Reachability> reachabilityByZone() {
        Map<Integer, int[]> counts = new TreeMap<>();
        for (Member e : members) {
            int[] c = counts.computeIfAbsent(e.zone(), z -> new int[2]);
            c[0] += e.state() == MemberState.ALIVE ? 1 : 0;
            c[1]++;
        }
        Map<Integer, Reachability> reachabilities = new TreeMap<>();
        counts.forEach((zone, c) -> reachabilities.put(
                zone, c[0] == 0 ? Reachability.ALONE : Reachability.of(c[0] == 1 && c[1] > 1 ? 2 : c[0], c[1])));
        return reachabilities;
    }
}
