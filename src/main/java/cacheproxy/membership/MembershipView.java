package cacheproxy.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one instance holds of the fleet at a moment; immutable. It is advice: instances that can hear each other come to
 * hold the same soon, and until then, and across a cut, they do not. So it hands out two kinds of number that do not
 * fit in each other's place: {@link #liveMembers()} for what costs only work, {@link #configuredMembers()} for what a
 * rule rests on.
 *
 * @param self the instance whose view it is
 * @param atMs when it was taken, by the instance's own clock
 * @param members of all that are known, by number
 * @param digest alike for views that hold the same
 * @param configuredMembers instances that the settings name; null where only seeds do
 * @param disputed whether another process seems to live under the instance's name
 */
public record MembershipView(
        int self,
        double atMs,
        List<Member> members,
        int digest,
        ConfiguredMembers configuredMembers,
        boolean disputed) {
    /** Checks that the instance itself is in it. */
    public MembershipView {
        members = List.copyOf(members);
        if (members.stream().noneMatch(e -> e.id() == self)) {
            throw new IllegalArgumentException("a view without the instance whose it is");
        }
    }

    /** Those that live, itself among them. */
    public LiveMembers liveMembers() {
        return new LiveMembers(1
                + (int) members.stream()
                        .filter(e -> e.id() != self && e.state().isLive())
                        .count());
    }

    /** Which part of the configured fleet it hears; of all that are known where only seeds are configured. */
    public Reachability reachability() {
        int all = configuredMembers == null ? members.size() : configuredMembers.count();
        return Reachability.of(
                (int) members.stream()
                        .filter(e -> e.state() == MemberState.ALIVE
                                && (configuredMembers == null || e.id() < configuredMembers.count()))
                        .count(),
                all);
    }

    /** The same by the zones in which instances said they stand. */
    public Map<Integer, Reachability> reachabilityByZone() {
        Map<Integer, int[]> counts = new TreeMap<>();
        for (Member e : members) {
            int[] c = counts.computeIfAbsent(e.zone(), z -> new int[2]);
            c[0] += e.state() == MemberState.ALIVE ? 1 : 0;
            c[1]++;
        }
        Map<Integer, Reachability> by = new TreeMap<>();
        counts.forEach((zone, c) ->
                by.put(zone, c[0] == 0 ? Reachability.ALONE : Reachability.of(c[0] == 1 && c[1] > 1 ? 2 : c[0], c[1])));
        return by;
    }
}
