package cacheproxy.proxy;

import cacheproxy.proxy.transport.TcpStatus;
import io.netty.channel.Channel;

/**
 * The clock of requests and of the endpoint list. It starts at the Unix time of its creation, in milliseconds, and is
 * monotonic from then on: times in the endpoint list need no conversion, and steps of the wall clock have no effect.
 * Also determines when input of connections arrived. Event loop only, except for {@link #now}.
 */
final class ProxyClock {
    private static final double NANOS_PER_MILLI = 1e6;

    private final double epochMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final LoopClock loopClock;
    private final TcpStatus tcpStatus;

    /** Whether the operating system has reported an age of input above 0, so that its reports are used. */
    private boolean systemReportsInputAge;

    ProxyClock(LoopClock loopClock, TcpStatus tcpStatus) {
        this.loopClock = loopClock;
        this.tcpStatus = tcpStatus;
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
        double inputAgeMs = tcpStatus.inputAgeMs(channel);
        if (inputAgeMs > 0) {
            systemReportsInputAge = true;
        }
        return systemReportsInputAge && inputAgeMs >= 0
                ? now - inputAgeMs
                : now - (System.nanoTime() - loopClock.inputReceivedNanos()) / NANOS_PER_MILLI;
    }
}
