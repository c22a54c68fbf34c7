package cacheproxy.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;

/**
 * The clock of requests and of the endpoint list: milliseconds since the Unix epoch when it was created, monotonic from
 * there. So times of the endpoint list need no conversion, and steps of the wall clock are not seen. Also dates the
 * input of connections. Event loop only, except for {@link #now}.
 */
final class ProxyClock {
    private static final double NANOS_PER_MILLI = 1e6;
    /** If a connection's last input is older than this, the system's figure is no time. */
    private static final double MAX_INPUT_AGE_MS = 600_000;

    private static final double UNKNOWN = -1;

    private final double epochMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final LoopClock loopClock;
    private final EpollTcpInfo tcpInfo = Epoll.isAvailable() ? new EpollTcpInfo() : null;

    /** Whether the operating system has been seen to report a time other than now. */
    private boolean systemReportsInputAge;

    ProxyClock(LoopClock loopClock) {
        this.loopClock = loopClock;
    }

    /** The time now, in milliseconds. Any thread. */
    double now() {
        return epochMs + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    /**
     * When input that is being read from this connection arrived, on the clock of {@link #now}. The operating system
     * knows it to some milliseconds. Where it has not been seen to report it (another transport, or one that stands in
     * for the system), the estimate of {@link LoopClock} holds, which is perhaps too early and never too late.
     */
    double inputReceivedMs(Channel channel) {
        double now = now();
        double inputAgeMs = inputAgeMs(channel);
        if (inputAgeMs > 0) {
            systemReportsInputAge = true;
        }
        return systemReportsInputAge && inputAgeMs >= 0
                ? now - inputAgeMs
                : now - (System.nanoTime() - loopClock.inputReceivedNanos()) / NANOS_PER_MILLI;
    }

    /** How long ago the connection's last input arrived; {@link #UNKNOWN} if the system does not report it. */
    private double inputAgeMs(Channel channel) {
        if (channel instanceof EpollSocketChannel socket) {
            try {
                double ageMs = socket.tcpInfo(tcpInfo).lastDataRecv();
                return ageMs <= MAX_INPUT_AGE_MS ? ageMs : UNKNOWN;
            } catch (ChannelException e) {
                return UNKNOWN; // the connection has ended, or the system does not report it
            }
        }
        return UNKNOWN;
    }
}
