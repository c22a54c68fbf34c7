package cacheproxy.proxy.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;

/**
 * Asks the operating system about a TCP connection (Linux: {@code TCP_INFO}). This shows what has happened to it at
 * this moment, while events show it only once they are read. Other transports report nothing. One thread at a time.
 */
public final class TcpStatus {
    /** The result of {@link #inputAgeMs} if the operating system does not report it. */
    public static final double UNKNOWN = -1;

    /** If the operating system reports a higher age of a connection's last input, the report is not a valid time. */
    private static final double MAX_INPUT_AGE_MS = 600_000;

    private final EpollTcpInfo info = Epoll.isAvailable() ? new EpollTcpInfo() : null;

    /**
     * Whether the remote side has closed or reset the connection, or this side has closed its socket. False where the
     * operating system does not report it: the close is known then once it is read.
     */
    public boolean isClosedByRemote(Channel channel) {
        return !channel.isOpen() || (read(channel) && TcpState.isClosedByRemote(info.state()));
    }

    /** Milliseconds since the connection's last input arrived, or {@link #UNKNOWN}. */
    public double inputAgeMs(Channel channel) {
        return read(channel) && info.lastDataRecv() <= MAX_INPUT_AGE_MS ? info.lastDataRecv() : UNKNOWN;
    }

    /**
     * Whether the remote side's machine has received all output that the kernel has been given. True where the
     * operating system does not report it, and for a connection that is closed.
     */
    public boolean isOutputDelivered(Channel channel) {
        TcpOutput output = readOutput(channel);
        return output == null || output.isDelivered();
    }

    /** How many bytes of output the remote side's machine has received; 0 where that is not reported. */
    public long deliveredBytes(Channel channel) {
        TcpOutput output = readOutput(channel);
        return output == null ? 0 : output.acknowledgedBytes();
    }

    /** The connection's output; null if there is no report. */
    private static TcpOutput readOutput(Channel channel) {
        if (!(channel instanceof EpollSocketChannel) || !channel.isOpen()) {
            return null;
        }
        try {
            return TcpOutput.of(channel.config().getOption(TcpOutput.OPTION));
        } catch (ChannelException e) {
            return null; // as below
        }
    }

    /** Reads the connection's status; false if there is none. */
    private boolean read(Channel channel) {
        if (!(channel instanceof EpollSocketChannel socket)) {
            return false;
        }
        try {
            socket.tcpInfo(info);
            return true;
        } catch (ChannelException e) {
            return false; // the socket has been closed, or the system does not support the call
        }
    }
}
