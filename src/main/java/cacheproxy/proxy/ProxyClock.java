package cacheproxy.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;

/**
 * The clock of requests and of the endpoint list. It starts at the Unix time of its creation, in milliseconds, and is
 * monotonic from then on: times in the endpoint list need no conversion, and steps of the wall clock have no effect.
 * Also determines when input of connections arrived. Event loop only, except for {@link #now}.
 */
final class ProxyClock {
    private static final double NANOS_PER_MILLI = 1e6;
    /** If the operating system reports a higher age of a connection's last input, the report is not a valid time. */
    private static final double MAX_INPUT_AGE_MS = 600_000;

    private static final double UNKNOWN = -1;

    private final double epochMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final LoopClock loopClock;
    private final EpollTcpInfo tcpInfo = Epoll.isAvailable() ? new EpollTcpInfo() : null;

    /** Whether the operating system has reported an age of input above 0, so that its reports are used. */
    private boolean systemReportsInputAge;

    ProxyClock(LoopClock loopClock) {
        this.loopClock = loopClock;
    }

    /** The time now, in milliseconds. Any thread. */
    double now() {
        return epochMs + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    /**
     * When the input that is being read from this connection arrived, on the clock of {@link #now}. The operating
     * system reports it to within a few milliseconds. Until it has reported an age of input above 0 (it never does with
     * another transport, or where its network stack is emulated), the estimate of {@link LoopClock} is used, which may
     * be too early, and too late by at most {@link LoopClock#TOLERANCE_MS}.
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

    /** Milliseconds since the connection's last input arrived; {@link #UNKNOWN} if the system does not report it. */
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
