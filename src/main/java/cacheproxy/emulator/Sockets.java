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
 * The kinds of channel that stand-ins and generators use. Epoll where it can be loaded: its timers are exact to some
 * microseconds, where the JDK's selector wakes to the millisecond.
 */
public record Sockets(
        IoHandlerFactory io,
        Class<? extends ServerChannel> server,
        Class<? extends Channel> client,
        Class<? extends Channel> datagram) {
    /** The best kind that this machine has. */
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
