package cacheproxy.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The members whose changes are still to be gossiped with whatever is sent: those first that were sent least often,
 * each as often as the logarithm of the fleet's size (SWIM, section 4.1).
 */
final class GossipQueue {
    private static final int MAX_MEMBERS = 4096;

    private final Map<Integer, Integer> timesSent = new LinkedHashMap<>();
    private boolean changedSinceTaken;

    /** A member has changed. */
    void changed(int id) {
        timesSent.remove(id);
        timesSent.put(id, 0);
        changedSinceTaken = true;
        if (timesSent.size() > MAX_MEMBERS) {
            timesSent.remove(timesSent.keySet().iterator().next());
        }
    }

    /** Whether anything has changed since the last call. */
    boolean takeChanged() {
        boolean was = changedSinceTaken;
        changedSinceTaken = false;
        return was;
    }

    /** A member is no longer gossiped. */
    void remove(int id) {
        timesSent.remove(id);
    }

    /** Whether there is nothing to gossip. */
    boolean isEmpty() {
        return timesSent.isEmpty();
    }

    /**
     * Takes members to send in a message, and counts them as sent.
     *
     * @param room for so many bytes
     * @param without a member that the message holds already
     */
    List<Member> take(MemberTable table, int room, int without) {
        int maxTimes = 32 - Integer.numberOfLeadingZeros(table.size() + 1);
        List<Map.Entry<Integer, Integer>> leastSentFirst = new ArrayList<>(timesSent.entrySet());
        leastSentFirst.sort(Comparator.comparingInt(Map.Entry::getValue));
        List<Member> taken = new ArrayList<>();
        if (room <= 0) {
            return taken;
        }
        int bytesLeft = room;
        for (Map.Entry<Integer, Integer> e : leastSentFirst) {
            Member entry = table.get(e.getKey());
            int bytes = entry == null ? 0 : MembershipMessage.bytes(entry);
            if (entry == null) {
                timesSent.remove(e.getKey());
            } else if (e.getKey() != without && bytes <= bytesLeft) {
                bytesLeft -= bytes;
                taken.add(entry);
                if (e.getValue() + 1 >= maxTimes) {
                    timesSent.remove(e.getKey());
                } else {
                    timesSent.put(e.getKey(), e.getValue() + 1);
                }
            }
        }
        return taken;
    }
}
