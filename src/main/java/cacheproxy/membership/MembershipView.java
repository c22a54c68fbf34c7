package cacheproxy.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one instance holds of the fleet at a moment; immutable. It is advice: instances that can hear each other come to
 * hold the same soon, and until then, and across a cut, they do not. So it hands out two kinds of number that do not
 * fit in each other's place: {@link #living()} for what costs only work, {@link #configured()} for what a rule rests
 * on.
 *
 * @param me the instance whose view it is
 * @param atMs when it was taken, by the instance's own clock
 * @param entries of all that are known, by number
 * @param digest alike for views that hold the same
 * @param configured instances that the settings name; null where only seeds do
 * @param disputed whether another process seems to live under the instance's name
 */
public record MembershipView(
        int me, double atMs, List<Member> entries, int digest, ConfiguredMembers configured, boolean disputed) {
    /** Checks that the instance itself is in it. */
    public MembershipView {
        entries = List.copyOf(entries);
        if (entries.stream().noneMatch(e -> e.id() == me)) {
            throw new IllegalArgumentException("a view without the instance whose it is");
        }
    }

    /** Those that live, itself among them. */
    public LiveMembers living() {
        return new LiveMembers(1
                + (int) entries.stream()
                        .filter(e -> e.id() != me && e.state().lives())
                        .count());
    }

    /** Which part of the configured fleet it hears; of all that are known where only seeds are configured. */
    public Reachability hearing() {
        int all = configured == null ? entries.size() : configured.count();
        return Reachability.of(
                (int) entries.stream()
                        .filter(e ->
                                e.state() == MemberState.ALIVE && (configured == null || e.id() < configured.count()))
                        .count(),
                all);
    }

    /** The same by the zones in which instances said they stand. */
    public Map<Integer, Reachability> hearingByZone() {
        Map<Integer, int[]> counts = new TreeMap<>();
        for (Member e : entries) {
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
