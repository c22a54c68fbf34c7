package cacheproxy.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The members whose changes still have to be piggybacked on outgoing messages: those sent least often first, each for a
 * number of times logarithmic in the fleet size (SWIM, section 4.1).
 */
final class GossipQueue {
    private static final int MAX_MEMBERS = 4096;

    private final Map<Integer, Integer> sendCounts = new LinkedHashMap<>();
    private boolean changedSinceTaken;

    /** A member has changed. */
    void changed(int id) {
        sendCounts.remove(id);
        sendCounts.put(id, 0);
        changedSinceTaken = true;
        if (sendCounts.size() > MAX_MEMBERS) {
            sendCounts.remove(sendCounts.keySet().iterator().next());
        }
    }

    /** Returns whether anything has changed since the last call. */
    boolean takeChanged() {
        boolean changed = changedSinceTaken;
        changedSinceTaken = false;
        return changed;
    }

    /** Stops gossiping a member. */
    void remove(int id) {
        sendCounts.remove(id);
    }

    /** Whether there is nothing to gossip. */
    boolean isEmpty() {
        return sendCounts.isEmpty();
    }

    /**
     * Selects members to send in a message, and counts them as sent.
     *
     * @param maxBytes the maximum size of the members in total
     * @param excludedId a member that the message already contains
     */
    List<Member> take(MemberTable table, int maxBytes, int excludedId) {
        int maxSends = 32 - Integer.numberOfLeadingZeros(table.size() + 1);
        List<Map.Entry<Integer, Integer>> leastSentFirst = new ArrayList<>(sendCounts.entrySet());
        leastSentFirst.sort(Comparator.comparingInt(Map.Entry::getValue));
        List<Member> taken = new ArrayList<>();
        if (maxBytes <= 0) {
            return taken;
        }
        int bytesLeft = maxBytes;
        for (Map.Entry<Integer, Integer> e : leastSentFirst) {
            Member member = table.get(e.getKey());
            int bytes = member == null ? 0 : MembershipMessage.memberBytes(member);
            if (member == null) {
                sendCounts.remove(e.getKey());
            } else if (e.getKey() != excludedId && bytes <= bytesLeft) {
                bytesLeft -= bytes;
                taken.add(member);
                if (e.getValue() + 1 >= maxSends) {
                    sendCounts.remove(e.getKey());
                } else {
                    sendCounts.put(e.getKey(), e.getValue() + 1);
                }
            }
        }
        return taken;
    }
}
