package cacheproxy.gossip;

import java.nio.ByteBuffer;

/** The messages between proxies: a byte for the kind, then its fields, big-endian. */
public final class PeerMessage {
    private static final byte LIST = 'L';
    private static final int LIST_BYTES = 1 + Long.BYTES;
    private static final byte FULL = 'F';
    private static final int SERVER_BYTES = 1 + Integer.BYTES;

    private static final byte BAD = 'B';
    private static final byte QUERY = 'Q';

    private PeerMessage() {}

    /** The sender has been told this version of the list by discovery. */
    public static byte[] listVersionAnnouncement(long version) {
        return ByteBuffer.allocate(LIST_BYTES).put(LIST).putLong(version).array();
    }

    /** The sender wants to be told what has changed after this version of the list. */
    public static byte[] listQuery(long version) {
        return ByteBuffer.allocate(LIST_BYTES).put(QUERY).putLong(version).array();
    }

    /** The version that a question for changes of the list names; negative if it is none, or none that can be read. */
    public static long readListQuery(byte[] message) {
        return version(QUERY, message);
    }

    /** The sender found no place for a connection at this server. */
    public static byte[] endpointFull(int server) {
        return ofServer(FULL, server);
    }

    /** The sender got no answer from this server. */
    public static byte[] endpointUnresponsive(int server) {
        return ofServer(BAD, server);
    }

    private static byte[] ofServer(byte kind, int server) {
        return ByteBuffer.allocate(SERVER_BYTES).put(kind).putInt(server).array();
    }

    /** The server of a message about places; null if it is none, or none that can be read. */
    public static Integer readEndpointFull(byte[] message) {
        return server(FULL, message);
    }

    /** The server of a message about silence; null if it is none, or none that can be read. */
    public static Integer readEndpointUnresponsive(byte[] message) {
        return server(BAD, message);
    }

    private static Integer server(byte kind, byte[] message) {
        return message.length == SERVER_BYTES && message[0] == kind
                ? ByteBuffer.wrap(message).getInt(1)
                : null;
    }

    /** The version of a message about the list; negative if it is none, or none that can be read. */
    public static long readListVersion(byte[] message) {
        return version(LIST, message);
    }

    private static long version(byte kind, byte[] message) {
        return message.length == LIST_BYTES && message[0] == kind
                ? ByteBuffer.wrap(message).getLong(1)
                : -1;
    }
}
