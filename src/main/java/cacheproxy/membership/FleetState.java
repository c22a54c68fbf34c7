package cacheproxy.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one instance knows of the fleet: the members with their states, when a message from each was last received,
 * since when members have been absent, and which changes still have to be gossiped.
 */
final class FleetState {
    private final MembershipSettings settings;
    private final int self;
    private final MembershipReplica replica;
    private final MemberTable table;
    private final GossipQueue gossip = new GossipQueue();
    private final Map<Integer, Double> lastReceivedMs = new HashMap<>();
    private final Map<Integer, Double> absentSinceMs = new HashMap<>();
    /** The other live members in ring order; null if they have changed since. */
    private List<Integer> liveOthers;

    /** Starts with this instance alone. */
    FleetState(MembershipSettings settings, Member self) {
        this.settings = settings;
        this.self = self.id();
        replica = new MembershipReplica(self, settings.capacity());
        table = replica.table();
        gossip.changed(self.id());
    }

    /** Returns the number of this instance. */
    int self() {
        return self;
    }

    /** Returns the entry of this instance. */
    LocalMember localMember() {
        return replica.localMember();
    }

    /** Whether this instance has left permanently. */
    boolean hasLeft() {
        return localMember().member().state() == MemberState.LEFT;
    }

    /** Returns the table of members, with digests. */
    MemberTable table() {
        return table;
    }

    /** Returns what is known of a member; null if nothing is. */
    Member get(int id) {
        return table.get(id);
    }

    /** Returns the changes that still have to be gossiped. */
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
     * Processes what another instance reports of this one.
     *
     * @return whether the report was wrong and is refuted by a higher incarnation
     */
    boolean refuteIfWrong(double nowMs, Member reported) {
        boolean refuted = replica.merge(nowMs, reported) == MembershipReplica.MergeResult.REFUTED;
        if (refuted) {
            gossip.changed(self);
        }
        return refuted;
    }

    /**
     * Merges what is reported of another member.
     *
     * @return the updated member; null if nothing has changed
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

    /** A message from a member has been received. */
    void received(int id, double nowMs) {
        lastReceivedMs.put(id, nowMs);
    }

    /** Returns when a message from a member was last received; negative infinity for never. */
    double lastReceivedMs(int id) {
        return lastReceivedMs.getOrDefault(id, Double.NEGATIVE_INFINITY);
    }

    /** Removes members that have been absent for a long time and are not configured. */
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

    /** Returns the numbers of the other live members in ring order, which is the same at all instances. */
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

    /** Returns the members that are configured or were seen before and are not known to be live, by number. */
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
