package cacheproxy.membership;

import cacheproxy.membership.MembershipMessage.Kind;
import cacheproxy.membership.OutgoingMessage.Urgency;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Composes messages and queues them, as far as the allowance permits. Each carries this instance's own entry, what the
 * receiver has to know, and as much gossip as there is room for.
 */
final class Transmitter {
    private static final int[] NO_DIGESTS = {};

    private final FleetState fleet;
    private final Membership.MessageBudget allowance;
    /** Members that don't know what is known of them here. */
    private final Set<Integer> unaware = new HashSet<>();

    private final List<OutgoingMessage> queue = new ArrayList<>();

    Transmitter(FleetState fleet, Membership.MessageBudget allowance) {
        this.fleet = fleet;
        this.allowance = allowance;
    }

    /** A member has said of itself something other than what is known of it here; the next message tells it. */
    void markUnaware(int id) {
        unaware.add(id);
    }

    /**
     * Queues a message with gossip.
     *
     * @param probe the number of the probe that it belongs to; 0 for none
     * @param target whom the probe is to reach or has reached for another; {@link MembershipMessage#NO_MEMBER}
     *     otherwise
     * @return whether the allowance permitted it
     */
    boolean send(double nowMs, Kind kind, int to, int probe, int target, Urgency urgency) {
        List<Member> members = new ArrayList<>(List.of(self()));
        Member receiver = fleet.get(to);
        if (receiver != null && (unaware.remove(to) || receiver.state() != MemberState.ALIVE)) {
            members.add(receiver);
        }
        if (target != MembershipMessage.NO_MEMBER && target != to && fleet.get(target) != null) {
            members.add(fleet.get(target));
        }
        members.addAll(gossip(nowMs, kind, members));
        return post(
                nowMs,
                to,
                new MembershipMessage(kind, probe, target, fleet.table().digest(), NO_DIGESTS, members),
                urgency);
    }

    /** Gossip for a message of this kind that holds these members. */
    private List<Member> gossip(double nowMs, Kind kind, List<Member> members) {
        int bytes = MembershipMessage.headBytes(kind)
                + members.stream().mapToInt(MembershipMessage::bytes).sum();
        int spareBytes = kind == Kind.GOSSIP ? Membership.MAX_MESSAGE_BYTES : allowance.availableBytes(nowMs);
        int maxBytes = Math.min(Membership.MAX_MESSAGE_BYTES - bytes, spareBytes);
        List<Member> gossip = fleet.gossip().take(fleet.table(), maxBytes, fleet.self());
        gossip.removeIf(g -> members.stream().anyMatch(m -> m.id() == g.id()));
        return gossip;
    }

    /** Queues gossip for a member. */
    void sendGossip(double nowMs, int to, Urgency urgency) {
        send(nowMs, Kind.GOSSIP, to, 0, MembershipMessage.NO_MEMBER, urgency);
    }

    /** Queues a message with exactly these members, this instance's own entry before them. */
    void sendMembers(double nowMs, Kind kind, int to, List<Member> members, Urgency urgency) {
        sendDigests(nowMs, kind, to, 0, NO_DIGESTS, members, urgency);
    }

    /** Queues a message with digests of slices; {@code number}: what it carries in place of a probe's. */
    void sendDigests(
            double nowMs, Kind kind, int to, int number, int[] digests, List<Member> members, Urgency urgency) {
        List<Member> all = new ArrayList<>(List.of(self()));
        all.addAll(members);
        post(
                nowMs,
                to,
                new MembershipMessage(
                        kind, number, MembershipMessage.NO_MEMBER, fleet.table().digest(), digests, all),
                urgency);
    }

    private boolean post(double nowMs, int to, MembershipMessage message, Urgency urgency) {
        byte[] body = message.encode();
        boolean permitted = allowance.tryAcquire(nowMs, body.length, urgency);
        if (permitted) {
            queue.add(new OutgoingMessage(to, body, urgency));
        }
        return permitted;
    }

    private Member self() {
        return fleet.localMember().member();
    }

    /** The queued messages in their order; empties the queue. */
    List<OutgoingMessage> takeQueue() {
        List<OutgoingMessage> all = List.copyOf(queue);
        queue.clear();
        return all;
    }
}
