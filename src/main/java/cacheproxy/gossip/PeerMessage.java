package cacheproxy.gossip;

import java.nio.ByteBuffer;

/**
 * The short messages between proxies: one byte for the type, then one number, big-endian
 * ({@code docs/design/members-wire.md}). {@link EndpointListDelta} is the long message.
 *
 * <pre>
 * 'L'   8   version of the endpoint list    the sender holds this version, delivered by discovery
 * 'Q'   8   version of the endpoint list    the sender requests the changes after this version
 * 'F'   4   endpoint id                     the sender found no capacity for a connection at this endpoint
 * 'B'   4   endpoint id                     the sender got no response from this endpoint
 * </pre>
 */
public final class PeerMessage {
    private static final byte LIST_VERSION = 'L';
    private static final byte LIST_QUERY = 'Q';
    private static final byte ENDPOINT_FULL = 'F';
    private static final byte ENDPOINT_UNRESPONSIVE = 'B';
    private static final int VERSION_MESSAGE_BYTES = 1 + Long.BYTES;
    private static final int ENDPOINT_MESSAGE_BYTES = 1 + Integer.BYTES;

    private PeerMessage() {}

    /** Encodes that the sender holds this version of the endpoint list, delivered by discovery. */
    public static byte[] listVersionAnnouncement(long version) {
        return ofVersion(LIST_VERSION, version);
    }

    /** Encodes a query for the changes after this version of the endpoint list. */
    public static byte[] listQuery(long version) {
        return ofVersion(LIST_QUERY, version);
    }

    private static byte[] ofVersion(byte type, long version) {
        return ByteBuffer.allocate(VERSION_MESSAGE_BYTES)
                .put(type)
                .putLong(version)
                .array();
    }

    /** Returns the version of an announcement; negative if the message is of another type or malformed. */
    public static long readListVersion(byte[] message) {
        return readVersion(LIST_VERSION, message);
    }

    /** Returns the version of a query; negative if the message is of another type or malformed. */
    public static long readListQuery(byte[] message) {
        return readVersion(LIST_QUERY, message);
    }

    private static long readVersion(byte type, byte[] message) {
        return message.length == VERSION_MESSAGE_BYTES && message[0] == type
                ? ByteBuffer.wrap(message).getLong(1)
                : -1;
    }

    /** Encodes that the sender found no capacity for a connection at this endpoint. */
    public static byte[] endpointFull(int endpointId) {
        return ofEndpoint(ENDPOINT_FULL, endpointId);
    }

    /** Encodes that the sender got no response from this endpoint. */
    public static byte[] endpointUnresponsive(int endpointId) {
        return ofEndpoint(ENDPOINT_UNRESPONSIVE, endpointId);
    }

    private static byte[] ofEndpoint(byte type, int endpointId) {
        return ByteBuffer.allocate(ENDPOINT_MESSAGE_BYTES)
                .put(type)
                .putInt(endpointId)
                .array();
    }

    /** Returns the endpoint that is full; null if the message is of another type or malformed. */
    public static Integer readEndpointFull(byte[] message) {
        return readEndpoint(ENDPOINT_FULL, message);
    }

    /** Returns the endpoint that did not respond; null if the message is of another type or malformed. */
    public static Integer readEndpointUnresponsive(byte[] message) {
        return readEndpoint(ENDPOINT_UNRESPONSIVE, message);
    }

    private static Integer readEndpoint(byte type, byte[] message) {
        return message.length == ENDPOINT_MESSAGE_BYTES && message[0] == type
                ? ByteBuffer.wrap(message).getInt(1)
                : null;
    }
}
