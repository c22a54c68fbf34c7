package cacheproxy.recovery;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The answer to a state query: what a serving instance reports to one that has started without state. Holds only the
 * most useful values, so that it fits in one datagram.
 *
 * <table>
 * <caption>Messages of kind STATE_QUERY, integers and floats big-endian</caption>
 * <tr><td>query</td><td>{@code 'Q'}</td></tr>
 * <tr><td>answer</td><td>{@code 'M'}, list version (8 bytes), origin fetch, node latency, origin in-time ratio (4 bytes
 * each), number of nodes (1 byte), nodes (4 bytes each)</td></tr>
 * </table>
 *
 * @param listVersion the version of the endpoint list that the instance has, 0 or more; only a claim, as endpoint lists
 *     come from discovery alone
 * @param originFetchMs how long a fetch from the origin takes, in milliseconds
 * @param nodeLatencyMs how long a response of a cache node takes, in milliseconds
 * @param originInTimeRatio the part of its recent origin fetches that completed in time, 0 to 1
 * @param avoidedNodes the nodes that the instance avoids, those with most failures first, at most
 *     {@link #MAX_AVOIDED_NODES}
 */
public record PeerStateSummary(
        long listVersion,
        float originFetchMs,
        float nodeLatencyMs,
        float originInTimeRatio,
        List<Integer> avoidedNodes) {
    /** The highest number of nodes in a summary. */
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
            throw new IllegalArgumentException("peer state out of range: list version " + listVersion + ", durations "
                    + originFetchMs + " and " + nodeLatencyMs + " ms, ratio " + originInTimeRatio + ", "
                    + avoidedNodes.size() + " nodes");
        }
    }

    /** The message that requests a summary. */
    public static byte[] query() {
        return new byte[] {QUERY_TYPE};
    }

    /** Whether a message requests a summary. */
    public static boolean isQuery(byte[] message) {
        return message.length == 1 && message[0] == QUERY_TYPE;
    }

    /** The message that carries this summary. */
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

    /** Decodes a summary; null if the message holds none or has values out of range. */
    public static PeerStateSummary decode(byte[] message) {
        if (message.length < HEADER_BYTES || message[0] != ANSWER_TYPE) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(message);
        in.get();
        long listVersion = in.getLong();
        float originFetchMs = in.getFloat();
        float nodeLatencyMs = in.getFloat();
        float originInTimeRatio = in.getFloat();
        int nodeCount = in.get();
        if (nodeCount < 0 || nodeCount > MAX_AVOIDED_NODES || in.remaining() != Integer.BYTES * nodeCount) {
            return null;
        }
        List<Integer> avoidedNodes = new ArrayList<>();
        for (int i = 0; i < nodeCount; i++) {
            avoidedNodes.add(in.getInt());
        }
        try {
            return new PeerStateSummary(listVersion, originFetchMs, nodeLatencyMs, originInTimeRatio, avoidedNodes);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
