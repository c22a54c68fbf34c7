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
    private final MembershipReplica replica;
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
        replica = new MembershipReplica(self, settings.capacity());
        table = replica.table();
        gossip.changed(self.id());
    }

    /** This instance's number. */
    int self() {
        return self;
    }

    /** This instance's own entry. */
    LocalMember localMember() {
        return replica.localMember();
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
    boolean refuteIfWrong(double nowMs, Member reported) {
        boolean refuted = replica.merge(nowMs, reported) == MembershipReplica.MergeResult.REFUTED;
        if (refuted) {
            gossip.changed(self);
        }
        return refuted;
    }

    /**
     * Takes in what is reported of another member.
     *
     * @return the member as it is known now; null if that has changed nothing
     */
    Member merge(double nowMs, Member reported) {
        Member before = table.get(reported.id());
        Member updated = table.merge(reported);
        if (updated == null) {
            return null;
        }
        gossip.changed(updated.id());
        boolean wasLive = before != null && before.state().isLive();
        if (wasLive != updated.state().isLive()) {
            liveOthers = null;
        }
        if (updated.state().isLive()) {
            absentSinceMs.remove(updated.id());
        } else {
            absentSinceMs.putIfAbsent(updated.id(), nowMs);
        }
        return updated;
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
    void removeLongAbsent(double nowMs) {
        absentSinceMs.entrySet().removeIf(entry -> {
            int id = entry.getKey();
            boolean expired = !settings.isConfigured(id) && nowMs - entry.getValue() > settings.absentRetentionMs();
            if (expired) {
                table.remove(id);
                lastReceivedMs.remove(id);
                gossip.remove(id);
            }
            return expired;
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
        for (int i = 0; i < settings.configuredCount(); i++) {
            absent.add(i);
        }
        absent.addAll(absentSinceMs.keySet());
        absent.remove(self);
        absent.removeIf(id -> table.get(id) != null && table.get(id).state().isLive());
        return new ArrayList<>(absent.stream().sorted().toList());
    }
}
