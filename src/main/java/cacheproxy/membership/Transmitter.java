package cacheproxy.membership;

import cacheproxy.membership.MembershipMessage.Kind;
import cacheproxy.membership.OutgoingMessage.Urgency;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Composes messages and queues them as far as the budget permits. Each contains this instance's own entry, the entries
 * that the receiver has to know, and as much gossip as fits.
 */
final class Transmitter {
    private static final int[] NO_DIGESTS = {};

    private final FleetState fleet;
    private final Membership.MessageBudget budget;
    /** Members whose own entry differs from what is known of them here. */
    private final Set<Integer> outdatedReceivers = new HashSet<>();

    private final List<OutgoingMessage> queue = new ArrayList<>();

    Transmitter(FleetState fleet, Membership.MessageBudget budget) {
        this.fleet = fleet;
        this.budget = budget;
    }

    /**
     * A member has sent an entry of itself that differs from what is known of it here; the next message to it contains
     * the known entry.
     */
    void markOutdated(int id) {
        outdatedReceivers.add(id);
    }

    /**
     * Queues a message with gossip.
     *
     * @param probe the number of the probe it belongs to; 0 for none
     * @param target the member that a helper has to reach, or has reached; {@link MembershipMessage#NO_MEMBER}
     *     otherwise
     * @return whether the budget permitted the message
     */
    boolean send(double nowMs, Kind kind, int to, int probe, int target, Urgency urgency) {
        List<Member> members = new ArrayList<>(List.of(self()));
        Member receiver = fleet.get(to);
        if (receiver != null && (outdatedReceivers.remove(to) || receiver.state() != MemberState.ALIVE)) {
            members.add(receiver);
        }
        if (target != MembershipMessage.NO_MEMBER && target != to && fleet.get(target) != null) {
            members.add(fleet.get(target));
        }
        members.addAll(gossip(nowMs, kind, members));
        return enqueue(
                nowMs,
                to,
                new MembershipMessage(kind, probe, target, fleet.table().digest(), NO_DIGESTS, members),
                urgency);
    }

    /** Returns gossip that fits into a message of this kind with these members. */
    private List<Member> gossip(double nowMs, Kind kind, List<Member> members) {
        int bytes = MembershipMessage.headerBytes(kind)
                + members.stream().mapToInt(MembershipMessage::memberBytes).sum();
        int availableBytes = kind == Kind.GOSSIP ? Membership.MAX_MESSAGE_BYTES : budget.availableBytes(nowMs);
        int maxBytes = Math.min(Membership.MAX_MESSAGE_BYTES - bytes, availableBytes);
        List<Member> gossip = fleet.gossip().take(fleet.table(), maxBytes, fleet.self());
        gossip.removeIf(g -> members.stream().anyMatch(m -> m.id() == g.id()));
        return gossip;
    }

    /** Queues a gossip message to a member. */
    void sendGossip(double nowMs, int to, Urgency urgency) {
        send(nowMs, Kind.GOSSIP, to, 0, MembershipMessage.NO_MEMBER, urgency);
    }

    /** Queues a message with exactly these members, after this instance's own entry. */
    void sendMembers(double nowMs, Kind kind, int to, List<Member> members, Urgency urgency) {
        sendDigests(nowMs, kind, to, 0, NO_DIGESTS, members, urgency);
    }

    /** Queues a message with digests of slices. {@code number}: sent in place of a probe number. */
    void sendDigests(
            double nowMs, Kind kind, int to, int number, int[] digests, List<Member> members, Urgency urgency) {
        List<Member> all = new ArrayList<>(List.of(self()));
        all.addAll(members);
        enqueue(
                nowMs,
                to,
                new MembershipMessage(
                        kind, number, MembershipMessage.NO_MEMBER, fleet.table().digest(), digests, all),
                urgency);
    }

    private boolean enqueue(double nowMs, int to, MembershipMessage message, Urgency urgency) {
        byte[] body = message.encode();
        boolean permitted = budget.tryAcquire(nowMs, body.length, urgency);
        if (permitted) {
            queue.add(new OutgoingMessage(to, body, urgency));
        }
        return permitted;
    }

    private Member self() {
        return fleet.localMember().member();
    }

    /** Removes and returns the queued messages in their order. */
    List<OutgoingMessage> takeQueue() {
        List<OutgoingMessage> all = List.copyOf(queue);
        queue.clear();
        return all;
    }
}
