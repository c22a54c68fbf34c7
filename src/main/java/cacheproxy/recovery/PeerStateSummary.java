package cacheproxy.recovery;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What an instance that serves tells one that has come back with nothing: what takes a few bytes and is worth most
 * first. It fits in one datagram.
 *
 * @param listVersion the version of the list that it holds, 0 or more; a claim, as only discovery's word makes a list
 * @param originFetchMs what a fetch at the origin takes
 * @param nodeLatencyMs what an answer of a cache node takes
 * @param originInTimeRatio of what it asked of the origin lately, so much came in time, 0 to 1
 * @param avoidedNodes nodes that it avoids, those that failed most first, {@link #MAX_AVOIDED_NODES} at most
 */
public record PeerStateSummary(
        long listVersion,
        float originFetchMs,
        float nodeLatencyMs,
        float originInTimeRatio,
        List<Integer> avoidedNodes) {
    /** So many nodes are named at most. */
    public static final int MAX_AVOIDED_NODES = 48;

    private static final byte QUERY_TYPE = 'Q';
    private static final byte ANSWER_TYPE = 'M';
    private static final int HEADER_BYTES = 1 + Long.BYTES + 3 * Float.BYTES + 1;
    private static final float MAX_DURATION_MS = 1e6f;

    /** Checks the ranges. */
    public PeerStateSummary {
        avoidedNodes = List.copyOf(avoidedNodes);
        if (listVersion < 0
                || !(originFetchMs >= 0 && originFetchMs <= MAX_DURATION_MS)
                || !(nodeLatencyMs >= 0 && nodeLatencyMs <= MAX_DURATION_MS)
                || !(originInTimeRatio >= 0 && originInTimeRatio <= 1)
                || avoidedNodes.size() > MAX_AVOIDED_NODES) {
            throw new IllegalArgumentException("a memory of version " + listVersion + ", " + originFetchMs + " and "
                    + nodeLatencyMs + " ms, " + originInTimeRatio + ", " + avoidedNodes.size() + " nodes");
        }
    }

    /** The question. */
    public static byte[] query() {
        return new byte[] {QUERY_TYPE};
    }

    /** Whether a message is the question. */
    public static boolean isQuery(byte[] message) {
        return message.length == 1 && message[0] == QUERY_TYPE;
    }

    /** As a message. */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + Integer.BYTES * avoidedNodes.size())
                .put(ANSWER_TYPE)
                .putLong(listVersion)
                .putFloat(originFetchMs)
                .putFloat(nodeLatencyMs)
                .putFloat(originInTimeRatio)
                .put((byte) avoidedNodes.size());
        avoidedNodes.forEach(out::putInt);
        return out.array();
    }

    /** Reads it; null for what is none, or none that can be so. */
    public static PeerStateSummary decode(byte[] message) {
        if (message.length < HEADER_BYTES || message[0] != ANSWER_TYPE) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(message);
        in.get();
        long version = in.getLong();
        float fetch = in.getFloat();
        float pace = in.getFloat();
        float share = in.getFloat();
        int many = in.get();
        if (many < 0 || many > MAX_AVOIDED_NODES || in.remaining() != Integer.BYTES * many) {
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
