package cacheproxy.gossip;

import cacheproxy.routing.EndpointState;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A message between proxies with the endpoints that changed between two versions of discovery's list, in their state as
 * of the later version. The format, big-endian ({@code docs/design/members-wire.md}):
 *
 * <pre>
 * 1   'C'
 * 8   afterVersion
 * 8   version
 * 2   ttlMs, unsigned
 * for each change:
 * 4   endpointId
 * 1   state: 0 REMOVED, 1 DRAINING, 2 READY
 * 8   startTimeMs, IEEE 754
 * </pre>
 *
 * @param afterVersion the delta does not contain changes of this version or earlier ones
 * @param version the version of which the delta gives the state of the endpoints
 * @param ttlMs how long the delta may be used without confirmation by discovery, in milliseconds, 0 to 65,535. A peer
 *     that relays a delta received from a peer sends the remaining time, so that an error expires
 * @param changes at most {@link #MAX_CHANGES}; their own versions are not sent, so decoded changes have {@code version}
 */
public record EndpointListDelta(long afterVersion, long version, int ttlMs, List<EndpointChange> changes) {
    private static final byte TYPE = 'C';
    private static final int MAX_TTL_MS = 0xffff;
    private static final int HEADER_BYTES = 1 + 2 * Long.BYTES + Short.BYTES;
    private static final int CHANGE_BYTES = Integer.BYTES + 1 + Double.BYTES;
    /** The maximum number of changes in one message. */
    public static final int MAX_CHANGES = (Envelope.MAX_BODY_BYTES - HEADER_BYTES) / CHANGE_BYTES;

    /** Copies the changes; throws an IllegalArgumentException if there are too many, or if the TTL is out of range. */
    public EndpointListDelta {
        changes = List.copyOf(changes);
        if (changes.size() > MAX_CHANGES || ttlMs < 0 || ttlMs > MAX_TTL_MS) {
            throw new IllegalArgumentException(changes.size() + " changes, TTL " + ttlMs + " ms; expected at most "
                    + MAX_CHANGES + " changes and a TTL of 0 to " + MAX_TTL_MS);
        }
    }

    /** Encodes the message. */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + CHANGE_BYTES * changes.size());
        out.put(TYPE).putLong(afterVersion).putLong(version).putShort((short) ttlMs);
        for (EndpointChange c : changes) {
            out.putInt(c.endpointId()).put(code(c.state())).putDouble(c.startTimeMs());
        }
        return out.array();
    }

    private static byte code(EndpointState state) {
        return switch (state) {
            case REMOVED -> 0;
            case DRAINING -> 1;
            case READY -> 2;
        };
    }

    /** Returns the state with this code; null if there is none. */
    private static EndpointState state(byte code) {
        return switch (code) {
            case 0 -> EndpointState.REMOVED;
            case 1 -> EndpointState.DRAINING;
            case 2 -> EndpointState.READY;
            default -> null;
        };
    }

    /** Decodes a message; returns null if it is of another type or malformed. */
    public static EndpointListDelta decode(byte[] message) {
        int changeBytes = message.length - HEADER_BYTES;
        if (changeBytes < 0
                || changeBytes % CHANGE_BYTES != 0
                || message[0] != TYPE
                || changeBytes / CHANGE_BYTES > MAX_CHANGES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(message, 1, message.length - 1);
        long afterVersion = in.getLong();
        long version = in.getLong();
        int ttlMs = Short.toUnsignedInt(in.getShort());
        List<EndpointChange> changes = new ArrayList<>();
        while (in.hasRemaining()) {
            int endpointId = in.getInt();
            EndpointState state = state(in.get());
            double startTimeMs = in.getDouble();
            if (state == null || !(startTimeMs >= 0) || Double.isInfinite(startTimeMs)) {
                return null;
            }
            changes.add(new EndpointChange(version, endpointId, state, startTimeMs));
        }
        return afterVersion < 0 || afterVersion > version
                ? null
                : new EndpointListDelta(afterVersion, version, ttlMs, changes);
    }
}
