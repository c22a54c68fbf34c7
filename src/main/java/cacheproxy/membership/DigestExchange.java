package cacheproxy.membership;

import cacheproxy.membership.MembershipMessage.Kind;
import cacheproxy.membership.OutgoingMessage.Urgency;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Anti-entropy: two instances whose digests differ exchange digests of the slices of their tables, and then the members
 * of the slices that differ. This finds changes that gossip has missed.
 */
final class DigestExchange {
    /** The minimum time between two exchanges. */
    private static final double MIN_INTERVAL_MS = 150;
    /** The minimum time between two exchanges while gossip is pending, which makes digests differ by itself. */
    private static final double MIN_INTERVAL_WHILE_GOSSIPING_MS = 600;
    /** The maximum number of messages with members that are sent in reply to a message with digests. */
    private static final int MAX_MEMBER_MESSAGES = 3;
    /** The number in a digests message that requests the receiver's digests, and in one that responds to it. */
    private static final int REQUEST = 0;

    private static final int RESPONSE = 1;

    private final FleetState fleet;
    private final Transmitter transmitter;
    private final SplittableRandom random;
    private double nextRequestMs;
    private double respondedMs = Double.NEGATIVE_INFINITY;

    DigestExchange(FleetState fleet, Transmitter transmitter, SplittableRandom random) {
        this.fleet = fleet;
        this.transmitter = transmitter;
        this.random = random;
    }

    /** A live member has sent its digest. */
    void digestReceived(double nowMs, int sender, int digest) {
        if (digest != fleet.table().digest() && nowMs >= nextRequestMs) {
            nextRequestMs = nowMs + (fleet.gossip().isEmpty() ? MIN_INTERVAL_MS : MIN_INTERVAL_WHILE_GOSSIPING_MS);
            sendDigests(nowMs, sender, REQUEST);
        }
    }

    /** A member has sent the digests of its slices. */
    void sliceDigestsReceived(double nowMs, MembershipMessage message, int sender) {
        List<Integer> differing = new ArrayList<>();
        for (int i = 0; i < MemberTable.SLICES; i++) {
            if (message.sliceDigests()[i] != fleet.table().digest(i)) {
                differing.add(i);
            }
        }
        if (differing.isEmpty()) {
            return;
        }
        if (message.number() == REQUEST) {
            if (nowMs < respondedMs + MIN_INTERVAL_MS) {
                return; // many members notice at the same time that this instance lags behind; one exchange is enough
            }
            respondedMs = nowMs;
            sendDigests(nowMs, sender, RESPONSE);
        }
        sendSlices(nowMs, sender, differing);
    }

    private void sendDigests(double nowMs, int to, int number) {
        int[] digests = new int[MemberTable.SLICES];
        for (int i = 0; i < digests.length; i++) {
            digests[i] = fleet.table().digest(i);
        }
        transmitter.sendDigests(nowMs, Kind.DIGESTS, to, number, digests, List.of(), Urgency.MEMBERSHIP_CHANGE);
    }

    private void sendSlices(double nowMs, int to, List<Integer> slices) {
        List<Member> remaining = new ArrayList<>();
        slices.forEach(slice -> remaining.addAll(fleet.table().inSlice(slice)));
        remaining.removeIf(m -> m.id() == fleet.self());
        for (int i = 0; i < MAX_MEMBER_MESSAGES && (i == 0 || !remaining.isEmpty()); i++) {
            List<Member> members = takeForOneMessage(remaining);
            transmitter.sendMembers(nowMs, Kind.MEMBERS, to, members, Urgency.BACKGROUND);
        }
    }

    /** Removes and returns randomly selected members until one does not fit into the message. */
    private List<Member> takeForOneMessage(List<Member> remaining) {
        List<Member> taken = new ArrayList<>();
        int freeBytes = Membership.MAX_MESSAGE_BYTES
                - MembershipMessage.headerBytes(Kind.MEMBERS)
                - MembershipMessage.memberBytes(fleet.localMember().member());
        while (!remaining.isEmpty()) {
            int at = random.nextInt(remaining.size());
            int bytes = MembershipMessage.memberBytes(remaining.get(at));
            if (bytes > freeBytes) {
                break;
            }
            freeBytes -= bytes;
            taken.add(remaining.remove(at));
        }
        return taken;
    }
}
