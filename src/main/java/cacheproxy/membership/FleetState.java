package cacheproxy.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one instance knows of the fleet: the members with their states, when a message of each was received last, which
 * are absent since when, and which changes are still to be gossiped.
 */
final class FleetState {
    private final MembershipSettings settings;
    private final int self;
    private final MembershipReplica knowledge;
    private final MemberTable table;
    private final GossipQueue gossip = new GossipQueue();
    private final Map<Integer, Double> lastReceivedMs = new HashMap<>();
    private final Map<Integer, Double> absentSinceMs = new HashMap<>();
    /** Live members but this one, by their place on the ring; null when they have changed. */
    private List<Integer> liveOthers;

    /** Begins with this instance alone. */
    FleetState(MembershipSettings settings, Member self) {
        this.settings = settings;
        this.self = self.id();
        knowledge = new MembershipReplica(self, settings.capacity());
        table = knowledge.table();
        gossip.changed(self.id());
    }

    /** This instance's number. */
    int self() {
        return self;
    }

    /** This instance's own entry. */
    LocalMember localMember() {
        return knowledge.localMember();
    }

    /** Whether this instance has left for good. */
    boolean hasLeft() {
        return localMember().member().state() == MemberState.LEFT;
    }

    /** The members by number, with digests. */
    MemberTable table() {
        return table;
    }

    /** What is known of a member; null for nothing. */
    Member get(int id) {
        return table.get(id);
    }

    /** The changes that are still to be gossiped. */
    GossipQueue gossip() {
        return gossip;
    }

    // ---- changes

    /** This instance's own entry may have changed. */
    void localMemberChanged() {
        if (table.merge(localMember().member()) != null) {
            gossip.changed(self);
        }
    }

    /**
     * Takes in what another says of this instance.
     *
     * @return whether it was wrong, and is refuted by a higher incarnation
     */
    boolean refuteIfWrong(double nowMs, Member said) {
        boolean refuted = knowledge.merge(nowMs, said) == MembershipReplica.MergeResult.REFUTED;
        if (refuted) {
            gossip.changed(self);
        }
        return refuted;
    }

    /**
     * Takes in what is said of another member.
     *
     * @return the member as it is known now; null if that has changed nothing
     */
    Member merge(double nowMs, Member said) {
        Member before = table.get(said.id());
        Member now = table.merge(said);
        if (now == null) {
            return null;
        }
        gossip.changed(now.id());
        boolean wasLive = before != null && before.state().isLive();
        if (wasLive != now.state().isLive()) {
            liveOthers = null;
        }
        if (now.state().isLive()) {
            absentSinceMs.remove(now.id());
        } else {
            absentSinceMs.putIfAbsent(now.id(), nowMs);
        }
        return now;
    }

    /** A message of a member has been received. */
    void received(int id, double nowMs) {
        lastReceivedMs.put(id, nowMs);
    }

    /** When a message of a member was received last; negative infinity for never. */
    double lastReceivedMs(int id) {
        return lastReceivedMs.getOrDefault(id, Double.NEGATIVE_INFINITY);
    }

    /** Forgets members that have been absent for long and that the settings don't name. */
    void forgetLongAbsent(double nowMs) {
        absentSinceMs.entrySet().removeIf(entry -> {
            int id = entry.getKey();
            boolean forget = !settings.isConfigured(id) && nowMs - entry.getValue() > settings.forgetMs();
            if (forget) {
                table.remove(id);
                lastReceivedMs.remove(id);
                gossip.remove(id);
            }
            return forget;
        });
    }

    // ---- who is there

    /** The numbers of the live members but this one, in the order of the ring, which is the same at all. */
    List<Integer> liveOthers() {
        if (liveOthers == null) {
            liveOthers = table.all().stream()
                    .filter(m -> m.id() != self && m.state().isLive())
                    .map(Member::id)
                    .sorted(Comparator.comparingLong(id -> Member.mix(id)))
                    .toList();
        }
        return liveOthers;
    }

    /** Members that the settings or the past name and that aren't live as far as is known, by number. */
    List<Integer> absentMembers() {
        Set<Integer> absent = new HashSet<>(settings.seeds());
        for (int i = 0; i < settings.configured(); i++) {
            absent.add(i);
        }
        absent.addAll(absentSinceMs.keySet());
        absent.remove(self);
        absent.removeIf(id -> table.get(id) != null && table.get(id).state().isLive());
        return new ArrayList<>(absent.stream().sorted().toList());
    }
}
