package cacheproxy.proxy;

import cacheproxy.metrics.LogMessage;
import io.netty.channel.Channel;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollDomainSocketChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerDomainSocketChannel;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.channel.unix.DomainSocketAddress;
import io.netty.channel.unix.FileDescriptor;
import io.netty.channel.unix.UnixChannel;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Path;

/**
 * The types of channels in use: those of Netty's native epoll transport, which has less overhead per event, or those of
 * the JDK's NIO where the native library can't be loaded.
 */
public record Transport(
        IoHandlerFactory io,
        Class<? extends ServerChannel> server,
        Class<? extends Channel> socket,
        Class<? extends Channel> datagram,
        Class<? extends ServerChannel> domainServer,
        Class<? extends Channel> domainSocket) {

    /** The best transport that is available on this machine. */
    public static final Transport BEST = Epoll.isAvailable()
            ? new Transport(
                    EpollIoHandler.newFactory(),
                    EpollServerSocketChannel.class,
                    EpollSocketChannel.class,
                    EpollDatagramChannel.class,
                    EpollServerDomainSocketChannel.class,
                    EpollDomainSocketChannel.class)
            : new Transport(
                    NioIoHandler.newFactory(),
                    NioServerSocketChannel.class,
                    NioSocketChannel.class,
                    NioDatagramChannel.class,
                    NioServerDomainSocketChannel.class,
                    NioDomainSocketChannel.class);

    /** Why the native transport can't be used; null if it is. */
    public static LogMessage unavailability() {
        return Epoll.isAvailable()
                ? null
                : LogMessage.of("serving without the native transport")
                        .with("cause", rootCause(Epoll.unavailabilityCause()))
                        .with("detects_unread_disconnects", false)
                        .with("hands_over_connections", false);
    }

    private static Throwable rootCause(Throwable failure) {
        return failure.getCause() == null ? failure : rootCause(failure.getCause());
    }

    /** Whether it can pass file descriptors of sockets to another process. */
    public boolean passesDescriptors() {
        return socket == EpollSocketChannel.class;
    }

    /**
     * The file descriptor of a channel's socket, to be passed to another process; only if {@link #passesDescriptors}.
     */
    public static FileDescriptor descriptor(Channel channel) {
        return new FileDescriptor(((UnixChannel) channel).fd().intValue());
    }

    /** The address of the Unix domain socket at this path. */
    public SocketAddress domainSocketAddress(Path path) {
        return socket == EpollSocketChannel.class
                ? new DomainSocketAddress(path.toFile())
                : UnixDomainSocketAddress.of(path);
    }
}
