package damsonworks.peer;

import java.nio.ByteBuffer;

/** The messages between proxies: a byte for the kind, then its fields, big-endian. */
public final class PeerMessage {
    private static final byte LIST = 'L';
    private static final int LIST_BYTES = 1 + Long.BYTES;
    private static final byte FULL = 'F';
    private static final int FULL_BYTES = 1 + Integer.BYTES;

    private PeerMessage() { }

    /** The sender has been told this version of the list by discovery. */
    public static byte[] list(long version) {
        return ByteBuffer.allocate(LIST_BYTES).put(LIST).putLong(version).array();
    }

    /** The sender found no place for a connection at this server. */
    public static byte[] full(int server) {
        return ByteBuffer.allocate(FULL_BYTES).put(FULL).putInt(server).array();
    }

    /** The server of a message about places; null if it is none, or none that can be read. */
    public static Integer fullServer(byte[] message) {
        return message.length == FULL_BYTES && message[0] == FULL ? ByteBuffer.wrap(message).getInt(1) : null;
    }

    /** The version of a message about the list; negative if it is none, or none that can be read. */
    public static long listVersion(byte[] message) {
        return message.length == LIST_BYTES && message[0] == LIST ? ByteBuffer.wrap(message).getLong(1) : -1;
    }
}
