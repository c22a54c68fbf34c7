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
 * @param afterVersion changes of this version and older ones are not in it
 * @param version the version in which the servers stand so
 * @param ttlMs how long it may be used without discovery's word, in milliseconds, 0 to 65,535; a peer that passes on
 *     what it was told itself by a peer passes on what is left of that time, so that a mistake ends by itself
 * @param changes the servers that changed; their own versions are not sent, so those read are {@code version}
 */
public record EndpointListDelta(long afterVersion, long version, int ttlMs, List<EndpointChange> changes) {
    private static final byte MARK = 'C';
    private static final int MAX_TTL_MS = 0xffff;
    private static final int HEAD_BYTES = 1 + 2 * Long.BYTES + Short.BYTES;
    private static final int CHANGE_BYTES = Integer.BYTES + 1 + Double.BYTES;
    /** The most servers that one message holds. */
    public static final int MAX_CHANGES = (Envelope.MAX_BODY_BYTES - HEAD_BYTES) / CHANGE_BYTES;

    /** Copies the servers. */
    public EndpointListDelta {
        changes = List.copyOf(changes);
        if (changes.size() > MAX_CHANGES || ttlMs < 0 || ttlMs > MAX_TTL_MS) {
            throw new IllegalArgumentException(
                    changes.size() + " servers for " + ttlMs + " ms; a message holds " + MAX_CHANGES);
        }
    }

    /** The bytes of the message. */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEAD_BYTES + CHANGE_BYTES * changes.size());
        out.put(MARK).putLong(afterVersion).putLong(version).putShort((short) ttlMs);
        for (EndpointChange c : changes) {
            out.putInt(c.endpointId()).put(code(c.state())).putDouble(c.startTimeMs());
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
    public static EndpointListDelta decode(byte[] message) {
        int body = message.length - HEAD_BYTES;
        if (body < 0 || body % CHANGE_BYTES != 0 || message[0] != MARK || body / CHANGE_BYTES > MAX_CHANGES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(message, 1, message.length - 1);
        long after = in.getLong();
        long version = in.getLong();
        int holdMs = Short.toUnsignedInt(in.getShort());
        List<EndpointChange> servers = new ArrayList<>();
        while (in.hasRemaining()) {
            int server = in.getInt();
            EndpointState state = state(in.get());
            double bornMs = in.getDouble();
            if (state == null || !(bornMs >= 0) || Double.isInfinite(bornMs)) {
                return null;
            }
            servers.add(new EndpointChange(version, server, state, bornMs));
        }
        return after < 0 || after > version ? null : new EndpointListDelta(after, version, holdMs, servers);
    }
}
