package cacheproxy.emulator;

import io.netty.channel.Channel;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * The transport of the emulator and the load generators. Epoll where it is available: its timers are accurate to some
 * microseconds, while the JDK's selector wakes with millisecond resolution.
 */
public record Sockets(
        IoHandlerFactory io,
        Class<? extends ServerChannel> server,
        Class<? extends Channel> client,
        Class<? extends Channel> datagram) {
    /** The preferred transport that is available on this machine. */
    public static final Sockets BEST = Epoll.isAvailable()
            ? new Sockets(
                    EpollIoHandler.newFactory(),
                    EpollServerSocketChannel.class,
                    EpollSocketChannel.class,
                    EpollDatagramChannel.class)
            : new Sockets(
                    NioIoHandler.newFactory(),
                    NioServerSocketChannel.class,
                    NioSocketChannel.class,
                    NioDatagramChannel.class);
}
