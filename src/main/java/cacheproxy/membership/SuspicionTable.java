package cacheproxy.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The ongoing suspicions, and which members have to confirm each of them. */
final class SuspicionTable {
    /**
     * A partition is likely if there are more suspicions than this and more than one per {@link #PARTITION_DIVISOR}
     * live members.
     */
    private static final int MIN_PARTITION_SUSPICIONS = 3;

    private static final int PARTITION_DIVISOR = 12;
    /** A member from which a message was received within this time is on the same side of a partition. */
    private static final double RECENTLY_RECEIVED_MS = 1500;

    private final MembershipSettings settings;
    private final FleetState fleet;
    private final Map<Integer, Suspicion> suspicions = new HashMap<>();

    SuspicionTable(MembershipSettings settings, FleetState fleet) {
        this.settings = settings;
        this.fleet = fleet;
    }

    /** Returns the suspicion of a member; null if there is none. */
    Suspicion get(int id) {
        return suspicions.get(id);
    }

    /** Whether a member is suspected. */
    boolean contains(int id) {
        return suspicions.containsKey(id);
    }

    /** Returns the numbers of the suspected members. */
    List<Integer> ids() {
        return List.copyOf(suspicions.keySet());
    }

    /** Returns the number of suspected members. */
    int size() {
        return suspicions.size();
    }

    /** What is known of a member has changed; starts or ends a suspicion of it. */
    void memberChanged(double nowMs, Member member) {
        Suspicion suspicion = suspicions.get(member.id());
        boolean suspected = member.state() == MemberState.SUSPECT;
        if (suspicion != null && (!suspected || !suspicion.concerns(member))) {
            suspicions.remove(member.id());
            suspicion = null;
        }
        if (suspected && suspicion == null && !fleet.hasLeft()) {
            suspicions.put(member.id(), new Suspicion(member, nowMs)); // the next tick checks whether to confirm it
        }
    }

    /** Ends all suspicions. */
    void clear() {
        suspicions.clear();
    }

    /** This process has stalled for this time: moves all deadlines, and discards its own failed probes. */
    void postpone(double byMs) {
        suspicions.values().forEach(s -> {
            s.startedMs += byMs;
            s.ownProbeFailedMs = Double.NEGATIVE_INFINITY;
        });
    }

    /**
     * Whether so many members are suspected at once that the network is probably partitioned, rather than the members
     * having died one by one. In that case most of the members that would have to confirm a suspicion are on the other
     * side, so only members from which a message was received recently are selected, and one confirmation is enough.
     */
    boolean isPartitionLikely() {
        return suspicions.size()
                > Math.max(MIN_PARTITION_SUSPICIONS, fleet.liveOthers().size() / PARTITION_DIVISOR);
    }

    /**
     * Returns the members that probe a suspected one immediately to confirm the suspicion; the same at all instances
     * that know the same. Suspected members are not selected: in a partition, members on this side soon replace those
     * on the other.
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

    /** Returns the number of confirmations with which a suspicion has its minimum duration. */
    int requiredConfirmations() {
        return Math.min(
                isPartitionLikely() ? 1 : settings.confirmers(),
                fleet.liveOthers().size() - suspicions.size());
    }
}
