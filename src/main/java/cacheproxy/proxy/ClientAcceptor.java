package cacheproxy.proxy;

import cacheproxy.proxy.transport.AcceptErrors;
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

/** The listening socket and the clients' connections that came through it, with their bound. */
final class ClientAcceptor implements Dispatcher.ClientListener {
    /** As many clients as may come at once while the event loop is busy; each further one would come a second late. */
    private static final int BACKLOG = 1024;
    /** Rounds of the event loop in which all of a full backlog is accepted, some at a time. */
    private static final int MAX_ROUNDS = 128;
    /** A client that has connected sends its first request within this time, on a busy machine, too. */
    private static final double UNHEARD_MS = 300;
    /** So many connections beyond the bound may wait for their clients to end them as well. */
    private static final int LINGERING = 16;

    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 << 10, 64 << 10);
    private static final Comparator<ClientConnection> LONGEST_IDLE =
            Comparator.comparingDouble(ClientConnection::lastActiveMs);

    private final Dispatcher dispatcher;
    private final int maxClients;
    private final Set<ClientConnection> clients = new HashSet<>();
    private Channel server;
    /** Connections that were taken from the system so far. */
    private long accepted;
    /** New connections are another process's. */
    private boolean left;

    private Consumer<ClientConnection> retire = ClientConnection::finish;

    ClientAcceptor(Dispatcher dispatcher, int maxClients) {
        this.dispatcher = dispatcher;
        this.maxClients = maxClients;
    }

    /** How an idle connection ends, where it does not just end. */
    void retireBy(Consumer<ClientConnection> by) {
        retire = by;
    }

    @Override
    public void closeWhenIdle(ClientConnection client) {
        retire.accept(client);
    }

    /** Listens from here on; waits until it does, so not to be called on the event loop. */
    void listen(EventLoopGroup group, InetSocketAddress address) throws InterruptedException {
        ServerBootstrap bootstrap = bootstrap(group).channel(Transport.BEST.server());
        if (Transport.BEST.passesDescriptors()) {
            // So that another process can serve beside this one, should it not get this one's socket.
            bootstrap.option(EpollChannelOption.SO_REUSEPORT, true);
        }
        server = bootstrap.bind(address).sync().channel();
    }

    /** The same at a socket that listens already. */
    void listen(EventLoopGroup group, FileDescriptor socket) throws InterruptedException {
        server = bootstrap(group)
                .channelFactory(() -> new EpollServerSocketChannel(socket.intValue()))
                .option(ChannelOption.AUTO_READ, false)
                .register()
                .sync()
                .channel();
        server.config().setAutoRead(true); // only now is there a handler for what it accepts
    }

    private ServerBootstrap bootstrap(EventLoopGroup group) {
        return new ServerBootstrap()
                .group(group)
                .handler(new AcceptErrors(this::regulate, dispatcher.failures()::acceptFailed))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel, false);
                    }
                });
    }

    /** Takes a client's connection that another process has accepted. */
    void adopt(EventLoop loop, FileDescriptor client) {
        Channel channel = new EpollSocketChannel(client.intValue());
        channel.config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK);
        accepted(channel, true);
        loop.register(channel);
    }

    Channel channel() {
        return server;
    }

    /** Takes new connections, or leaves them to the process that shares the socket. */
    void accept(boolean on) {
        left = !on;
        regulate();
    }

    private void regulate() {
        if (server == null) {
            return; // it has accepted before it was handed over
        }
        server.config()
                .setAutoRead(!left && (clients.size() <= maxClients || clients.size() - lingering() <= maxClients));
    }

    private int lingering() {
        return (int) clients.stream().filter(ClientConnection::ending).count();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /**
     * A connection that the kernel has accepted counts as taken, so where there are too many the one that has stood
     * idle longest makes room. It ends in order, as a request on it may be on its way, and a close over one would reset
     * what else the client is to read; but clients that do not end theirs have room of their own alone.
     */
    private void accepted(Channel channel, boolean adopted) {
        ClientConnection client = new ClientConnection(dispatcher, adopted);
        channel.pipeline().addLast(client);
        clients.add(client);
        accepted++;
        if (clients.size() - lingering() > maxClients) {
            idleClients()
                    .filter(c -> c != client)
                    .min(LONGEST_IDLE)
                    .ifPresentOrElse(ClientConnection::finish, this::regulate);
        }
        if (clients.size() > maxClients + LINGERING) {
            clients.stream().filter(ClientConnection::ending).min(LONGEST_IDLE).ifPresent(ClientConnection::close);
        }
    }

    @Override
    public void clientLeft(ClientConnection client) {
        clients.remove(client);
        regulate();
    }

    void sweep() {
        sweep(dispatcher.now());
    }

    /** Ends clients that have not taken their answers for too long by then. */
    void sweep(double now) {
        for (ClientConnection c : List.copyOf(clients)) {
            if (c.stalled(now)) {
                c.close();
            }
        }
    }

    // ---- its end

    /**
     * Refuses new connections; those it has go on. What the system has accepted counts as taken, and closing the socket
     * would reset it, so all of that is accepted first: until a round of the event loop brings none.
     */
    void stopListening() {
        closeOnceEmpty(accepted, MAX_ROUNDS);
    }

    private void closeOnceEmpty(long before, int rounds) {
        server.eventLoop()
                .schedule(
                        () -> { // behind the next round's input
                            if (accepted == before || rounds == 0) {
                                server.close();
                            } else {
                                closeOnceEmpty(accepted, rounds - 1);
                            }
                        },
                        0,
                        TimeUnit.MILLISECONDS);
    }

    int open() {
        return clients.size();
    }

    int idle() {
        return (int) idleClients().count();
    }

    /**
     * Ends so many connections between requests, those first that have stood idle longest; not one that has just come,
     * as a client whose new connection ends unheard has been turned away.
     */
    void endIdle(int many) {
        endIdle(many, dispatcher.now());
    }

    /** The same at that time. */
    void endIdle(int many, double now) {
        idleClients()
                .filter(c -> c.used() || now - c.lastActiveMs() >= UNHEARD_MS)
                .sorted(LONGEST_IDLE)
                .limit(many)
                .toList()
                .forEach(this::closeWhenIdle);
    }

    /**
     * Ends so many connections between requests, those first that were used last: these carry what is asked. Never one
     * that has had no answer yet: its first request is on its way, and a client whose new connection ends unheard has
     * been turned away.
     */
    void endBusiest(int many) {
        idleClients()
                .filter(ClientConnection::used)
                .sorted(LONGEST_IDLE.reversed())
                .limit(many)
                .toList()
                .forEach(ClientConnection::finish);
    }

    /** Ends all connections, whatever is on them. */
    void endAll() {
        List.copyOf(clients).forEach(ClientConnection::finish);
    }

    private Stream<ClientConnection> idleClients() {
        return clients.stream().filter(c -> c.idle() && !c.ending());
    }
}
