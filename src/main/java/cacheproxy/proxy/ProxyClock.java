package cacheproxy.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;

/**
 * The one clock of a proxy: Unix time in milliseconds at its start, monotonic from there, so that list times need no
 * conversion and no step of the wall clock is seen. Also tells when input came that is read now. On the event loop
 * only, but for {@link #now}.
 */
final class ProxyClock {
    /** Bytes of a client that were last added to so long ago have not waited: the system's figure is no time then. */
    private static final double MAX_UNREAD_MS = 600_000;

    private final double epochMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final LoopClock loopClock;
    private final EpollTcpInfo tcpInfo = Epoll.isAvailable() ? new EpollTcpInfo() : null;

    /** Whether the system has told of a time other than now. */
    private boolean systemTells;

    ProxyClock(LoopClock loopClock) {
        this.loopClock = loopClock;
    }

    /** The time now. */
    double now() {
        return epochMs + (System.nanoTime() - startNanos) / 1e6;
    }

    /**
     * When input that is being read from this connection came. The system knows it to some milliseconds. Where it has
     * not been seen to tell (another transport, or one that stands in for the system), the event loop's word holds: no
     * later than it can have been, and so perhaps too early.
     */
    double inputReceivedMs(Channel channel) {
        double now = now();
        double quietMs = quietMs(channel);
        if (quietMs > 0) {
            systemTells = true;
        }
        return systemTells && quietMs >= 0
                ? now - quietMs
                : now - (System.nanoTime() - loopClock.inputReceivedNanos()) / 1e6;
    }

    /** For how long nothing has come on the connection; negative if that is not known. */
    private double quietMs(Channel channel) {
        if (channel instanceof EpollSocketChannel socket) {
            try {
                double quietMs = socket.tcpInfo(tcpInfo).lastDataRecv();
                return quietMs <= MAX_UNREAD_MS ? quietMs : -1;
            } catch (ChannelException e) {
                return -1; // the connection has ended, or the system does not tell
            }
        }
        return -1;
    }
}
