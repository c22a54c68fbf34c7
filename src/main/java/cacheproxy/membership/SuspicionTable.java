package cacheproxy.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The suspicions under way, and who has to confirm each. */
final class SuspicionTable {
    /** More suspicions than this, and than one in {@link #PARTITION_DIVISOR} live members: a partition is likely. */
    private static final int MIN_PARTITION_SUSPICIONS = 3;

    private static final int PARTITION_DIVISOR = 12;
    /** A member of which a message was received within this time stands on this side of a partition. */
    private static final double RECENTLY_RECEIVED_MS = 1500;

    private final MembershipSettings settings;
    private final FleetState fleet;
    private final Map<Integer, Suspicion> suspicions = new HashMap<>();

    SuspicionTable(MembershipSettings settings, FleetState fleet) {
        this.settings = settings;
        this.fleet = fleet;
    }

    /** The suspicion of a member; null if there is none. */
    Suspicion get(int id) {
        return suspicions.get(id);
    }

    /** Whether a member is suspected. */
    boolean contains(int id) {
        return suspicions.containsKey(id);
    }

    /** The suspected members. */
    List<Integer> ids() {
        return List.copyOf(suspicions.keySet());
    }

    /** How many are suspected. */
    int size() {
        return suspicions.size();
    }

    /** What is known of a member has changed: begins or ends a suspicion of it. */
    void memberChanged(double nowMs, Member member) {
        Suspicion suspicion = suspicions.get(member.id());
        boolean suspected = member.state() == MemberState.SUSPECT;
        if (suspicion != null && (!suspected || !suspicion.concerns(member))) {
            suspicions.remove(member.id());
            suspicion = null;
        }
        if (suspected && suspicion == null && !fleet.hasLeft()) {
            suspicions.put(member.id(), new Suspicion(member, nowMs)); // the next tick looks whether to confirm it
        }
    }

    /** Ends all suspicions. */
    void clear() {
        suspicions.clear();
    }

    /** This process has stalled for so long: all times move, and its own failed probes say nothing. */
    void postpone(double byMs) {
        suspicions.values().forEach(s -> {
            s.startedMs += byMs;
            s.ownProbeFailedMs = Double.NEGATIVE_INFINITY;
        });
    }

    /**
     * Whether so many are suspected at once that the network is partitioned rather than that they died one by one.
     * Those who would have to confirm then stand beyond the partition for the most part, so only recently heard members
     * are chosen, and one confirmation is enough.
     */
    boolean isPartitionLikely() {
        return suspicions.size()
                > Math.max(MIN_PARTITION_SUSPICIONS, fleet.liveOthers().size() / PARTITION_DIVISOR);
    }

    /**
     * The members that probe a suspected one at once to confirm the suspicion; the same at all instances that know the
     * same. A suspected member confirms nothing: at a partition those on this side soon take the place of those on the
     * other.
     */
    List<Integer> confirmersOf(double nowMs, Member suspect) {
        long salt = Member.mix(suspect.id() * 31L + suspect.incarnation());
        int self = fleet.self();
        List<Integer> candidates = new ArrayList<>(fleet.liveOthers());
        candidates.add(self);
        boolean partition = isPartitionLikely();
        double sinceMs = nowMs - RECENTLY_RECEIVED_MS;
        candidates.removeIf(id -> id == suspect.id()
                || suspicions.containsKey(id)
                || (partition && id != self && fleet.lastReceivedMs(id) < sinceMs));
        candidates.sort(Comparator.comparingLong(id -> Member.mix(id ^ salt)));
        return candidates.subList(0, Math.min(settings.confirmers(), candidates.size()));
    }

    /** How many confirmations end a suspicion at the least time. */
    int requiredConfirmations() {
        return Math.min(
                isPartitionLikely() ? 1 : settings.confirmers(),
                fleet.liveOthers().size() - suspicions.size());
    }
}
