package cacheproxy.proxy.transport;

import io.netty.channel.unix.RawUnixChannelOption;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * What the kernel has of a TCP connection's output, as Linux reports it ({@code struct tcp_info} in its
 * {@code linux/tcp.h}; the same layout on all architectures).
 *
 * @param unacknowledgedSegments segments that were sent and that the remote side has not acknowledged
 * @param acknowledgedBytes bytes that the remote side has acknowledged since the connection was opened
 * @param unsentBytes bytes that were not sent yet
 */
record TcpOutput(int unacknowledgedSegments, long acknowledgedBytes, int unsentBytes) {
    private static final int IPPROTO_TCP = 6;
    private static final int TCP_INFO = 11;
    /** Offsets of the fields in the structure, in bytes. */
    private static final int UNACKNOWLEDGED_OFFSET = 24;

    private static final int ACKNOWLEDGED_BYTES_OFFSET = 120;
    private static final int UNSENT_BYTES_OFFSET = 144;
    /** The length of the structure up to the last of the fields, in bytes. */
    private static final int LENGTH = UNSENT_BYTES_OFFSET + Integer.BYTES;

    static final RawUnixChannelOption OPTION =
            new RawUnixChannelOption("TCP_INFO_OUTPUT", IPPROTO_TCP, TCP_INFO, LENGTH);

    /** Reads the value of {@link #OPTION}; nothing is outstanding in fields that the system does not report. */
    static TcpOutput of(ByteBuffer structure) {
        ByteBuffer fields = structure.order(ByteOrder.nativeOrder());
        return new TcpOutput(
                fields.getInt(UNACKNOWLEDGED_OFFSET),
                fields.getLong(ACKNOWLEDGED_BYTES_OFFSET),
                fields.getInt(UNSENT_BYTES_OFFSET));
    }

    /** Whether the remote side has acknowledged all output. */
    boolean isDelivered() {
        return unacknowledgedSegments == 0 && unsentBytes == 0;
    }
}
