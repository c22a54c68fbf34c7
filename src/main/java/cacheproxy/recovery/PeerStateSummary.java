package cacheproxy.recovery;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What an instance that serves tells one that has come back with nothing: what takes a few bytes and is worth most
 * first. It fits in one datagram.
 *
 * @param listVersion the version of the list that it holds, 0 or more; a claim, as only discovery's word makes a list
 * @param fetchMs what a fetch at the origin takes
 * @param paceMs what an answer of a cache node takes
 * @param originShare of what it asked of the origin lately, so much came in time, 0 to 1
 * @param bad nodes that it avoids, those that failed most first, {@link #MOST_BAD} at most
 */
public record PeerStateSummary(long listVersion, float fetchMs, float paceMs, float originShare, List<Integer> bad) {
    /** So many nodes are named at most. */
    public static final int MOST_BAD = 48;

    private static final byte QUESTION = 'Q';
    private static final byte ANSWER = 'M';
    private static final int HEAD = 1 + Long.BYTES + 3 * Float.BYTES + 1;
    private static final float MOST_MS = 1e6f;

    /** Checks the ranges. */
    public PeerStateSummary {
        bad = List.copyOf(bad);
        if (listVersion < 0
                || !(fetchMs >= 0 && fetchMs <= MOST_MS)
                || !(paceMs >= 0 && paceMs <= MOST_MS)
                || !(originShare >= 0 && originShare <= 1)
                || bad.size() > MOST_BAD) {
            throw new IllegalArgumentException("a memory of version " + listVersion + ", " + fetchMs + " and " + paceMs
                    + " ms, " + originShare + ", " + bad.size() + " nodes");
        }
    }

    /** The question. */
    public static byte[] question() {
        return new byte[] {QUESTION};
    }

    /** Whether a message is the question. */
    public static boolean isQuestion(byte[] message) {
        return message.length == 1 && message[0] == QUESTION;
    }

    /** As a message. */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEAD + Integer.BYTES * bad.size())
                .put(ANSWER)
                .putLong(listVersion)
                .putFloat(fetchMs)
                .putFloat(paceMs)
                .putFloat(originShare)
                .put((byte) bad.size());
        bad.forEach(out::putInt);
        return out.array();
    }

    /** Reads it; null for what is none, or none that can be so. */
    public static PeerStateSummary decode(byte[] message) {
        if (message.length < HEAD || message[0] != ANSWER) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(message);
        in.get();
        long version = in.getLong();
        float fetch = in.getFloat();
        float pace = in.getFloat();
        float share = in.getFloat();
        int many = in.get();
        if (many < 0 || many > MOST_BAD || in.remaining() != Integer.BYTES * many) {
            return null;
        }
        List<Integer> bad = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            bad.add(in.getInt());
        }
        try {
            return new PeerStateSummary(version, fetch, pace, share, bad);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
