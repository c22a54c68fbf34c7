package cacheproxy.proxy.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;

/**
 * The acknowledgement of a TCP connection's input, which the kernel delays by up to 40 ms (Linux:
 * {@code TCP_QUICKACK}). A sender with Nagle's algorithm (RFC 896) holds a short segment back until then. Event loop
 * only.
 */
public final class TcpAcknowledgement {
    private TcpAcknowledgement() {}

    /** Has what was received acknowledged now; no effect on other transports or if the connection has ended. */
    public static void sendNow(Channel channel) {
        if (!(channel instanceof EpollSocketChannel) || !channel.isOpen()) {
            return;
        }
        try {
            channel.config().setOption(EpollChannelOption.TCP_QUICKACK, true);
        } catch (ChannelException e) {
            // the socket has been closed, or is not a TCP socket
        }
    }
}
