package cacheproxy.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What has changed and is still to be passed on with whatever is sent: those first that have gone out least, each as
 * often as the logarithm of the fleet (SWIM, section 4.1).
 */
final class GossipQueue {
    private static final int MAX_MEMBERS = 4096;

    private final Map<Integer, Integer> timesSent = new LinkedHashMap<>();
    private boolean changedSinceTaken;

    /** The entry of an instance has changed. */
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

    /** Nothing more is passed on of it. */
    void remove(int id) {
        timesSent.remove(id);
    }

    boolean isEmpty() {
        return timesSent.isEmpty();
    }

    /** Entries to send with a message of so many bytes' room; {@code without}: whose entry is in it already. */
    List<Member> take(MemberTable table, int room, int without) {
        int most = 32 - Integer.numberOfLeadingZeros(table.size() + 1);
        List<Map.Entry<Integer, Integer>> order = new ArrayList<>(timesSent.entrySet());
        order.sort(Comparator.comparingInt(Map.Entry::getValue));
        List<Member> taken = new ArrayList<>();
        if (room <= 0) {
            return taken;
        }
        int left = room;
        for (Map.Entry<Integer, Integer> e : order) {
            Member entry = table.get(e.getKey());
            int bytes = entry == null ? 0 : MembershipMessage.bytes(entry);
            if (entry == null) {
                timesSent.remove(e.getKey());
            } else if (e.getKey() != without && bytes <= left) {
                left -= bytes;
                taken.add(entry);
                if (e.getValue() + 1 >= most) {
                    timesSent.remove(e.getKey());
                } else {
                    timesSent.put(e.getKey(), e.getValue() + 1);
                }
            }
        }
        return taken;
    }
}
