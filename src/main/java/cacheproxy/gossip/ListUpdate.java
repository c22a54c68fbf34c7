package cacheproxy.gossip;

import cacheproxy.routing.EndpointState;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What a proxy was told by discovery, for peers: all servers that changed after one version of the list up to another,
 * as they are in the latter. Its form, big-endian: a byte for the kind, both versions, how long it holds, and for each
 * server its number, a byte for its state and the time of its start.
 *
 * @param after changes of this version and older ones are not in it
 * @param version the version in which the servers stand so
 * @param holdMs how long it may be used without discovery's word, in milliseconds, 0 to 65,535; a peer that passes on
 *     what it was told itself by a peer passes on what is left of that time, so that a mistake ends by itself
 * @param servers the servers that changed; their own versions are not sent, so those read are {@code version}
 */
public record ListUpdate(long after, long version, int holdMs, List<ListChange> servers) {
    private static final byte MARK = 'C';
    private static final int MOST_HOLD_MS = 0xffff;
    private static final int HEAD_BYTES = 1 + 2 * Long.BYTES + Short.BYTES;
    private static final int SERVER_BYTES = Integer.BYTES + 1 + Double.BYTES;
    /** The most servers that one message holds. */
    public static final int MOST_SERVERS = (Envelope.MOST_BODY - HEAD_BYTES) / SERVER_BYTES;

    /** Copies the servers. */
    public ListUpdate {
        servers = List.copyOf(servers);
        if (servers.size() > MOST_SERVERS || holdMs < 0 || holdMs > MOST_HOLD_MS) {
            throw new IllegalArgumentException(
                    servers.size() + " servers for " + holdMs + " ms; a message holds " + MOST_SERVERS);
        }
    }

    /** The bytes of the message. */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEAD_BYTES + SERVER_BYTES * servers.size());
        out.put(MARK).putLong(after).putLong(version).putShort((short) holdMs);
        for (ListChange c : servers) {
            out.putInt(c.server()).put(code(c.state())).putDouble(c.bornMs());
        }
        return out.array();
    }

    /** The code of a state in a message: 0 removed, 1 draining, 2 ready. */
    private static byte code(EndpointState state) {
        return switch (state) {
            case REMOVED -> 0;
            case DRAINING -> 1;
            case READY -> 2;
        };
    }

    /** The state of that code; null if there is none. */
    private static EndpointState state(byte code) {
        return switch (code) {
            case 0 -> EndpointState.REMOVED;
            case 1 -> EndpointState.DRAINING;
            case 2 -> EndpointState.READY;
            default -> null;
        };
    }

    /** Reads a message; null if it is none of this kind, or none that can be read. */
    public static ListUpdate decode(byte[] message) {
        int body = message.length - HEAD_BYTES;
        if (body < 0 || body % SERVER_BYTES != 0 || message[0] != MARK || body / SERVER_BYTES > MOST_SERVERS) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(message, 1, message.length - 1);
        long after = in.getLong();
        long version = in.getLong();
        int holdMs = Short.toUnsignedInt(in.getShort());
        List<ListChange> servers = new ArrayList<>();
        while (in.hasRemaining()) {
            int server = in.getInt();
            EndpointState state = state(in.get());
            double bornMs = in.getDouble();
            if (state == null || !(bornMs >= 0) || Double.isInfinite(bornMs)) {
                return null;
            }
            servers.add(new ListChange(version, server, state, bornMs));
        }
        return after < 0 || after > version ? null : new ListUpdate(after, version, holdMs, servers);
    }
}
