package damsonworks.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** The listening socket and the clients' connections that came through it, with their bound. */
final class Acceptor {
    private static final int BACKLOG = 512;
    private static final Comparator<ClientConnection> LONGEST_IDLE =
            Comparator.comparingDouble(ClientConnection::activeMs);

    private final Dispatcher dispatcher;
    private final int maxClients;
    private final Set<ClientConnection> clients = new HashSet<>();
    private Channel server;

    Acceptor(Dispatcher dispatcher, int maxClients) {
        this.dispatcher = dispatcher;
        this.maxClients = maxClients;
    }

    /** Listens from here on; waits until it does, so not to be called on the event loop. */
    void listen(EventLoopGroup group, InetSocketAddress address) throws InterruptedException {
        server = new ServerBootstrap().group(group).channel(Transport.BEST.server())
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(64 << 10, 128 << 10))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                }).bind(address).sync().channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /**
     * A connection that the kernel has accepted counts as taken, so where there are too many the one that has
     * stood idle longest makes room.
     */
    private void accepted(Channel channel) {
        ClientConnection client = new ClientConnection(dispatcher);
        channel.pipeline().addLast(client);
        clients.add(client);
        if (clients.size() > maxClients) {
            idleClients().filter(c -> c != client).min(LONGEST_IDLE).ifPresentOrElse(ClientConnection::close,
                    () -> server.config().setAutoRead(false));
        }
    }

    void left(ClientConnection client) {
        clients.remove(client);
        if (clients.size() <= maxClients && !server.config().isAutoRead()) {
            server.config().setAutoRead(true);
        }
    }

    void sweep() {
        double now = dispatcher.now();
        for (ClientConnection c : List.copyOf(clients)) {
            if (c.stalled(now)) {
                c.close();
            }
        }
    }

    // ---- its end

    /** Refuses new connections; those it has go on. */
    void stopListening() {
        server.close();
    }

    int open() {
        return clients.size();
    }

    int idle() {
        return (int) idleClients().count();
    }

    /** Ends so many connections between requests, those first that have stood idle longest. */
    void endIdle(int many) {
        idleClients().sorted(LONGEST_IDLE).limit(many).toList().forEach(ClientConnection::finish);
    }

    /** Ends all connections, whatever is on them. */
    void endAll() {
        List.copyOf(clients).forEach(ClientConnection::finish);
    }

    private Stream<ClientConnection> idleClients() {
        return clients.stream().filter(c -> c.idle() && !c.ending());
    }
}
