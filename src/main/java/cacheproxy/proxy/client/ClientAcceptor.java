package cacheproxy.proxy.client;

import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.Transport;
import cacheproxy.proxy.transport.AcceptErrorHandler;
import cacheproxy.proxy.transport.InputBarrier;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
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
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Accepts client connections and enforces a limit on them: listens, adopts connections that another process has
 * accepted, and closes idle ones to make room or during a drain. To be called on the event loop, except
 * {@link #listen}, which blocks.
 */
public final class ClientAcceptor implements ClientConnection.Listener {
    /**
     * Length of the accept queue: how many clients can connect while the event loop is busy. A further client would
     * retry after one second.
     */
    private static final int BACKLOG = 1024;
    /** Connections accepted in one iteration of the event loop. */
    private static final int MAX_ACCEPTS = 32;
    /** Event loop iterations that suffice to drain a full accept queue, also while it grows. */
    private static final int MAX_BACKLOG_ROUNDS = 128;
    /** A client sends its first request within this time of connecting, in milliseconds, even on a busy machine. */
    private static final double FIRST_REQUEST_GRACE_MS = 300;
    /** How many connections beyond the limit may wait for their clients to close them. */
    private static final int MAX_CLOSING_CLIENTS = 16;

    /**
     * Decoding of a client's commands and streaming of its values pause above the high mark and resume below the low
     * mark, in bytes.
     */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(4 << 10, 8 << 10);

    /** The sizes of a read from a client, in bytes: the least, the first and the most. */
    private static final int MIN_READ_BYTES = 64;

    private static final int FIRST_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 8 << 10;

    private static final RecvByteBufAllocator READS = new AdaptiveRecvByteBufAllocator(
                    MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
            .maxMessagesPerRead(ClientInput.MAX_READS);

    private static final Comparator<ClientConnection> LONGEST_IDLE =
            Comparator.comparingDouble(ClientConnection::lastActiveMs);
    private static final Comparator<ClientConnection> DELIVERED_FIRST =
            Comparator.comparing(ClientConnection::isDelivered).reversed();

    /** Accepts until the queue is empty; by default, Netty's epoll transport accepts one connection an iteration. */
    private static final RecvByteBufAllocator ACCEPTS =
            new ServerChannelRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_ACCEPTS);

    private final Dispatcher dispatcher;
    private final int maxClients;
    private final Set<ClientConnection> clients = new HashSet<>();
    private Channel listener;
    /** Connections accepted since the start. */
    private long acceptedCount;
    /** Whether new connections are accepted by another process. */
    private boolean acceptedElsewhere;

    private Consumer<ClientConnection> idleCloser = ClientConnection::closeGracefully;
    /** Which idle connections {@link #idleCloser} may end now. */
    private Predicate<ClientConnection> mayEnd = ClientConnection::isDelivered;

    /** Creates an acceptor with a limit of {@code maxClients} open connections. */
    public ClientAcceptor(Dispatcher dispatcher, int maxClients) {
        this.dispatcher = dispatcher;
        this.maxClients = maxClients;
    }

    /**
     * Sets how idle connections are ended during a drain, and which of them may be now; by default they are closed
     * gracefully once their clients have received all output.
     */
    public void setIdleCloser(Consumer<ClientConnection> closer, Predicate<ClientConnection> mayBeEnded) {
        idleCloser = closer;
        mayEnd = mayBeEnded;
    }

    @Override
    public void idleWhileDraining(ClientConnection client) {
        if (mayEnd.test(client)) {
            idleCloser.accept(client);
        }
    }

    /** Listens on this address. Blocks, so it must not be called on the event loop. */
    public void listen(EventLoopGroup group, InetSocketAddress address) throws InterruptedException {
        ServerBootstrap bootstrap = bootstrap(group).channel(Transport.BEST.server());
        if (Transport.BEST.passesDescriptors()) {
            // Lets another process listen on the same address if it does not receive this one's socket.
            bootstrap.option(EpollChannelOption.SO_REUSEPORT, true);
        }
        listener = bootstrap.bind(address).sync().channel();
    }

    /**
     * Accepts connections on a socket that is already listening. Blocks, so it must not be called on the event loop.
     */
    public void listen(EventLoopGroup group, FileDescriptor socket) throws InterruptedException {
        listener = bootstrap(group)
                .channelFactory(() -> new EpollServerSocketChannel(socket.intValue()))
                .option(ChannelOption.AUTO_READ, false)
                .register()
                .sync()
                .channel();
        listener.config().setAutoRead(true); // the handler for accepted connections is in place only now
    }

    private ServerBootstrap bootstrap(EventLoopGroup group) {
        return new ServerBootstrap()
                .group(group)
                .handler(new AcceptErrorHandler(this::updateAutoRead, dispatcher.failures()::acceptFailed))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, ACCEPTS)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, READS)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        add(channel, false);
                    }
                });
    }

    /** Serves a client connection that another process has accepted. */
    public void adopt(EventLoop loop, FileDescriptor client) {
        Channel channel = new EpollSocketChannel(client.intValue());
        channel.config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK);
        channel.config().setOption(ChannelOption.RECVBUF_ALLOCATOR, READS);
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
            return; // a connection was accepted before the listening channel was assigned
        }
        listener.config().setAutoRead(!acceptedElsewhere && !isFull());
    }

    /** Whether there are more connections than the limit allows, without those that are closing. */
    private boolean isFull() {
        return clients.size() > maxClients && clients.size() - closingConnections() > maxClients;
    }

    private int closingConnections() {
        return (int)
                clients.stream().filter(ClientConnection::isClosingOrHandedOver).count();
    }

    /** The address that it listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * Adds a connection. As the kernel has already accepted it, the connection that has been idle longest is closed if
     * the limit is exceeded. It is closed gracefully, since a request may be in flight and a reset would discard data
     * that the client has not read yet. The number of connections that wait for their clients to close them is limited,
     * too.
     */
    private void add(Channel channel, boolean adopted) {
        ClientConnection client = new ClientConnection(dispatcher, this, adopted);
        channel.pipeline().addLast(client);
        clients.add(client);
        acceptedCount++;
        if (isFull()) {
            double now = dispatcher.now();
            idleClients()
                    .filter(c -> c != client)
                    .sorted(LONGEST_IDLE)
                    .filter(c -> c.mayBeClosed(now))
                    .findFirst()
                    .ifPresentOrElse(ClientConnection::closeGracefully, this::updateAutoRead);
        }
        if (clients.size() > maxClients + MAX_CLOSING_CLIENTS) {
            clients.stream()
                    .filter(ClientConnection::isClosingOrHandedOver)
                    .min(DELIVERED_FIRST.thenComparing(LONGEST_IDLE))
                    .ifPresent(ClientConnection::closeNow);
        }
    }

    @Override
    public void closed(ClientConnection client) {
        clients.remove(client);
        updateAutoRead();
    }

    /** Closes the connections of clients that have not read their responses for too long. */
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
     * Stops listening. Connections that are still in the accept queue are accepted first, since closing the socket
     * would reset them. The queue counts as empty once an event loop iteration accepts none.
     */
    public void stopListening() {
        closeOnceBacklogIsEmpty(acceptedCount, MAX_BACKLOG_ROUNDS);
    }

    private void closeOnceBacklogIsEmpty(long before, int rounds) {
        InputBarrier.afterInput(listener.eventLoop(), () -> {
            if (acceptedCount == before || rounds == 0) {
                listener.close();
            } else {
                closeOnceBacklogIsEmpty(acceptedCount, rounds - 1);
            }
        });
    }

    /** How many connections are open. */
    public int openConnections() {
        return clients.size();
    }

    /** How many connections are between requests and neither closing nor being handed over. */
    public int idleConnections() {
        return (int) idleClients().count();
    }

    /**
     * Closes up to {@code many} idle connections, those idle longest first. Spares connections that were opened just
     * now, since a client whose new connection is closed without a response counts as rejected.
     */
    public void closeIdle(int many) {
        closeIdle(many, dispatcher.now());
    }

    /** As above, at this time. */
    public void closeIdle(int many, double now) {
        idleClients()
                .filter(c -> c.hasResponded() || now - c.lastActiveMs() >= FIRST_REQUEST_GRACE_MS)
                .filter(mayEnd)
                .sorted(LONGEST_IDLE)
                .limit(many)
                .toList()
                .forEach(idleCloser);
    }

    /**
     * Closes up to {@code many} idle connections, the most recently used first, as these carry the most requests.
     * Spares connections that have had no response yet: their first request is in flight.
     */
    public void closeMostRecentlyUsed(int many) {
        idleClients()
                .filter(c -> c.hasResponded() && c.isDelivered())
                .sorted(LONGEST_IDLE.reversed())
                .limit(many)
                .toList()
                .forEach(ClientConnection::closeGracefully);
    }

    /** Closes each connection gracefully once what it has sent is answered. */
    public void closeAll() {
        List.copyOf(clients).forEach(ClientConnection::closeOnceAnswered);
    }

    private Stream<ClientConnection> idleClients() {
        return clients.stream().filter(c -> c.idle() && !c.isClosingOrHandedOver());
    }
}
