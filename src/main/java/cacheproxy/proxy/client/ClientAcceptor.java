package cacheproxy.proxy.client;

import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.Transport;
import cacheproxy.proxy.transport.AcceptErrorHandler;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.FileDescriptor;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Accepts the clients' connections and keeps them within a limit: listens, adopts connections that another process has
 * accepted, and closes idle ones to make room or during a drain. On the event loop but for {@link #listen}, which
 * waits.
 */
public final class ClientAcceptor implements ClientConnection.Listener {
    /**
     * As many clients as may connect at once while the event loop is busy; a further one would retry a second later.
     */
    private static final int BACKLOG = 1024;
    /** Rounds of the event loop in which a full backlog is accepted, some connections at a time. */
    private static final int MAX_ROUNDS = 128;
    /** A client sends its first request within this time of connecting, on a busy machine too. */
    private static final double FIRST_REQUEST_GRACE_MS = 300;
    /** How many connections beyond the limit may wait for their clients to close them. */
    private static final int MAX_ENDING = 16;

    /** Above the upper mark, in bytes, no further command of the client is decoded; below the lower one again. */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 << 10, 64 << 10);

    private static final Comparator<ClientConnection> LONGEST_IDLE =
            Comparator.comparingDouble(ClientConnection::lastActiveMs);

    private final Dispatcher dispatcher;
    private final int maxClients;
    private final Set<ClientConnection> clients = new HashSet<>();
    private Channel listener;
    /** Connections accepted since the start. */
    private long acceptedCount;
    /** New connections are accepted by another process. */
    private boolean acceptedElsewhere;

    private Consumer<ClientConnection> idleCloser = ClientConnection::closeGracefully;

    /** Creates an acceptor of at most {@code maxClients} open connections. */
    public ClientAcceptor(Dispatcher dispatcher, int maxClients) {
        this.dispatcher = dispatcher;
        this.maxClients = maxClients;
    }

    /** Sets how an idle connection ends during a drain, where it is not just closed. */
    public void setIdleCloser(Consumer<ClientConnection> closer) {
        idleCloser = closer;
    }

    @Override
    public void idleWhileDraining(ClientConnection client) {
        idleCloser.accept(client);
    }

    /** Listens at this address. Waits; not to be called on the event loop. */
    public void listen(EventLoopGroup group, InetSocketAddress address) throws InterruptedException {
        ServerBootstrap bootstrap = bootstrap(group).channel(Transport.BEST.server());
        if (Transport.BEST.passesDescriptors()) {
            // So that another process can serve beside this one, should it not get this one's socket.
            bootstrap.option(EpollChannelOption.SO_REUSEPORT, true);
        }
        listener = bootstrap.bind(address).sync().channel();
    }

    /** Accepts at a socket that listens already. Waits; not to be called on the event loop. */
    public void listen(EventLoopGroup group, FileDescriptor socket) throws InterruptedException {
        listener = bootstrap(group)
                .channelFactory(() -> new EpollServerSocketChannel(socket.intValue()))
                .option(ChannelOption.AUTO_READ, false)
                .register()
                .sync()
                .channel();
        listener.config().setAutoRead(true); // only now is there a handler for what it accepts
    }

    private ServerBootstrap bootstrap(EventLoopGroup group) {
        return new ServerBootstrap()
                .group(group)
                .handler(new AcceptErrorHandler(this::updateAutoRead, dispatcher.failures()::acceptFailed))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        add(channel, false);
                    }
                });
    }

    /** Serves a client's connection that another process has accepted. */
    public void adopt(EventLoop loop, FileDescriptor client) {
        Channel channel = new EpollSocketChannel(client.intValue());
        channel.config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK);
        add(channel, true);
        loop.register(channel);
    }

    /** The channel of the listening socket. */
    public Channel listeningChannel() {
        return listener;
    }

    /** Accepts new connections, or leaves them to the process that shares the socket. */
    public void setAccepting(boolean on) {
        acceptedElsewhere = !on;
        updateAutoRead();
    }

    private void updateAutoRead() {
        if (listener == null) {
            return; // the socket accepted before this process had its handler in place
        }
        listener.config()
                .setAutoRead(!acceptedElsewhere
                        && (clients.size() <= maxClients || clients.size() - endingConnections() <= maxClients));
    }

    private int endingConnections() {
        return (int) clients.stream().filter(ClientConnection::ending).count();
    }

    /** The address that it listens at. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * Adds a connection. The kernel has accepted it, so where there are too many the one that has been idle longest
     * makes room. It is closed gracefully, as a request may be on its way and a reset would destroy what the client is
     * still to read; but the room for connections whose clients do not close them is limited too.
     */
    private void add(Channel channel, boolean adopted) {
        ClientConnection client = new ClientConnection(dispatcher, this, adopted);
        channel.pipeline().addLast(client);
        clients.add(client);
        acceptedCount++;
        if (clients.size() - endingConnections() > maxClients) {
            idleClients()
                    .filter(c -> c != client)
                    .min(LONGEST_IDLE)
                    .ifPresentOrElse(ClientConnection::closeGracefully, this::updateAutoRead);
        }
        if (clients.size() > maxClients + MAX_ENDING) {
            clients.stream().filter(ClientConnection::ending).min(LONGEST_IDLE).ifPresent(ClientConnection::closeNow);
        }
    }

    @Override
    public void closed(ClientConnection client) {
        clients.remove(client);
        updateAutoRead();
    }

    /** Closes the connections of clients that have not taken their responses for too long. */
    public void closeStalled() {
        closeStalled(dispatcher.now());
    }

    /** As above, at this time. */
    public void closeStalled(double now) {
        for (ClientConnection c : List.copyOf(clients)) {
            if (c.stalled(now)) {
                c.closeNow();
            }
        }
    }

    // ---- drain

    /**
     * Refuses new connections. Those that the kernel has accepted are accepted first, as closing the socket would reset
     * them: until a round of the event loop brings none.
     */
    public void stopListening() {
        closeOnceBacklogIsEmpty(acceptedCount, MAX_ROUNDS);
    }

    private void closeOnceBacklogIsEmpty(long before, int rounds) {
        listener.eventLoop()
                .schedule(
                        () -> { // after the next round's input
                            if (acceptedCount == before || rounds == 0) {
                                listener.close();
                            } else {
                                closeOnceBacklogIsEmpty(acceptedCount, rounds - 1);
                            }
                        },
                        0,
                        TimeUnit.MILLISECONDS);
    }

    /** How many connections are open. */
    public int openConnections() {
        return clients.size();
    }

    /** How many connections are between requests and not ending. */
    public int idleConnections() {
        return (int) idleClients().count();
    }

    /**
     * Closes so many idle connections, those first that have been idle longest; not one that has just connected, as a
     * client whose new connection is closed without a response counts as rejected.
     */
    public void closeIdle(int many) {
        closeIdle(many, dispatcher.now());
    }

    /** As above, at this time. */
    public void closeIdle(int many, double now) {
        idleClients()
                .filter(c -> c.hasResponded() || now - c.lastActiveMs() >= FIRST_REQUEST_GRACE_MS)
                .sorted(LONGEST_IDLE)
                .limit(many)
                .toList()
                .forEach(idleCloser);
    }

    /**
     * Closes so many idle connections, those first that were used last, as these carry most requests. Never one that
     * has had no response yet: its first request is on its way.
     */
    public void closeMostRecentlyUsed(int many) {
        idleClients()
                .filter(ClientConnection::hasResponded)
                .sorted(LONGEST_IDLE.reversed())
                .limit(many)
                .toList()
                .forEach(ClientConnection::closeGracefully);
    }

    /** Closes all connections gracefully, whatever is under way on them. */
    public void closeAll() {
        List.copyOf(clients).forEach(ClientConnection::closeGracefully);
    }

    private Stream<ClientConnection> idleClients() {
        return clients.stream().filter(c -> c.idle() && !c.ending());
    }
}
