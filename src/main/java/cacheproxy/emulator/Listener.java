package cacheproxy.emulator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.unix.Socket;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ObjIntConsumer;

/**
 * The listening sockets of one emulated server and the connections accepted on them. Sockets keep their addresses
 * across closing and reopening. Each socket has its own link conditions, which can be changed. Used on the event loop
 * only, except for {@link #bind}.
 */
final class Listener {
    private static final long REBIND_DELAY_MS = 20;
    private static final int BACKLOG = 512;
    /** A backlog of 0 admits one connection; the second covers a race with a connection that is being established. */
    private static final int FILLERS = 2;

    private static final int FILLERS_CLOSE_DELAY_MS = 200;

    private final EventLoop loop;
    private final List<Channel> channels = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    /** Open connections with their links. */
    private final Map<Channel, Link> connections = new LinkedHashMap<>();

    private final Map<Integer, Conditions> ways = new HashMap<>();
    /** Connections that keep a partitioned socket's accept queue full, so that no other can be established. */
    private final Map<Integer, List<Filler>> fillers = new HashMap<>();

    private final SplittableRandom random;
    private final ObjIntConsumer<Channel> accepted;
    private boolean open = true;
    private boolean frozen;

    private record Conditions(LinkConditions in, LinkConditions out) {
        static final Conditions OPEN = new Conditions(LinkConditions.OPEN, LinkConditions.OPEN);

        boolean cut() {
            return in.cut() || out.cut();
        }
    }

    private record Link(int socket, LinkHandler handler) {}

    /** {@code accepted}: installs handlers on a new connection; receives the number of its listening socket. */
    Listener(EventLoop loop, ObjIntConsumer<Channel> accepted) {
        this(loop, 0, accepted);
    }

    /** {@code seed}: the seed of the links' random choices. */
    Listener(EventLoop loop, long seed, ObjIntConsumer<Channel> accepted) {
        this.loop = loop;
        random = new SplittableRandom(seed);
        this.accepted = accepted;
    }

    /** Opens another socket at a free port and blocks until it is bound; not to be called on the event loop. */
    InetSocketAddress bind() {
        int number = addresses.size();
        Channel channel =
                bootstrap(number).bind("127.0.0.1", 0).syncUninterruptibly().channel();
        channels.add(channel);
        addresses.add((InetSocketAddress) channel.localAddress());
        return addresses.get(number);
    }

    private ServerBootstrap bootstrap(int number) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(Sockets.BEST.server())
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (isFiller(channel, number)) {
                            channel.close();
                            return;
                        }
                        Conditions w = ways.getOrDefault(number, Conditions.OPEN);
                        LinkHandler link = new LinkHandler(w.in(), w.out(), random.split());
                        connections.put(channel, new Link(number, link));
                        channel.closeFuture().addListener(f -> connections.remove(channel));
                        channel.pipeline().addLast(link);
                        channel.config().setAutoRead(!frozen && !w.in().cut());
                        accepted.accept(channel, number);
                    }
                });
    }

    List<InetSocketAddress> addresses() {
        return addresses;
    }

    int size() {
        return connections.size();
    }

    boolean isOpen() {
        return open;
    }

    /** Resets all connections. */
    void reset() {
        for (Channel c : List.copyOf(connections.keySet())) {
            if (c instanceof SocketChannel s) {
                s.config().setSoLinger(0);
            }
            c.close();
        }
    }

    /** Closes all connections without a reset. */
    void close() {
        List.copyOf(connections.keySet()).forEach(Channel::close);
    }

    /**
     * Refuses new connections; existing ones stay open. A partitioned socket is closed only when the partition ends, as
     * no refusal can be seen through a partition.
     */
    void refuseNew() {
        open = false;
        for (int i = 0; i < channels.size(); i++) {
            if (!cut(i)) {
                channels.get(i).close();
            }
        }
    }

    /** Listens again on the same addresses; runs {@code then} once all sockets are open. */
    void reopen(Runnable then) {
        open = true;
        int[] missing = {addresses.size()};
        for (int i = 0; i < addresses.size(); i++) {
            int number = i;
            if (channels.get(i).isOpen()) {
                missing[0]--; // it stayed open, as it has been partitioned since
                continue;
            }
            rebind(number, c -> {
                channels.set(number, c);
                if (!open) {
                    c.close();
                    return;
                }
                if (cut(number)) {
                    setUnreachable(number, true);
                }
                if (--missing[0] == 0) {
                    then.run();
                }
            });
        }
        if (missing[0] == 0) {
            then.run();
        }
    }

    private void rebind(int number, Consumer<Channel> then) {
        ChannelFuture future = bootstrap(number).bind(addresses.get(number));
        future.addListener(f -> {
            if (f.isSuccess()) {
                then.accept(future.channel());
            } else if (open) {
                loop.schedule(() -> rebind(number, then), REBIND_DELAY_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** Sets whether the server is frozen: nothing is accepted or read. */
    void freeze(boolean on) {
        frozen = on;
        channels.forEach(c -> c.config().setAutoRead(!on));
        connections.forEach((c, link) -> updateAutoRead(c, link.socket()));
    }

    boolean frozen() {
        return frozen;
    }

    // ---- links

    /**
     * Sets the link conditions of a socket, inbound and outbound. While either direction is cut no connection can be
     * established: the accept queue is set to its minimum length and kept full, so that the kernel drops SYNs as on an
     * unreachable host.
     */
    void ways(int socket, LinkConditions in, LinkConditions out) {
        Conditions before = ways.getOrDefault(socket, Conditions.OPEN);
        Conditions now = new Conditions(in, out);
        if (now.equals(before)) {
            return;
        }
        ways.put(socket, now);
        if (now.cut() != before.cut()) {
            setUnreachable(socket, now.cut()); // before any peer can see that the partition has ended
        }
        connections.forEach((c, link) -> {
            if (link.socket() == socket) {
                link.handler().setConditions(in, out);
                updateAutoRead(c, socket);
            }
        });
        if (!now.cut() && !open) {
            channels.get(socket).close();
        }
    }

    private boolean cut(int socket) {
        return ways.getOrDefault(socket, Conditions.OPEN).cut();
    }

    private void updateAutoRead(Channel connection, int socket) {
        connection
                .config()
                .setAutoRead(!frozen
                        && !ways.getOrDefault(socket, Conditions.OPEN).in().cut());
    }

    private void setUnreachable(int socket, boolean on) {
        Channel channel = channels.get(socket);
        if (!(channel instanceof EpollServerSocketChannel epoll) || !channel.isOpen()) {
            return; // without epoll's listen() call connections are established, but stay silent
        }
        channel.config().setAutoRead(!on && !frozen);
        try {
            ((Socket) epoll.fd()).listen(on ? 0 : BACKLOG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (on) {
            List<Filler> mine = new ArrayList<>();
            for (int i = 0; i < FILLERS; i++) {
                mine.add(new Filler(addresses.get(socket)));
            }
            List<Filler> old = fillers.put(socket, mine);
            if (old != null) {
                old.forEach(Filler::close);
            }
        } else {
            List<Filler> done = fillers.get(socket);
            loop.schedule(
                    () -> {
                        done.forEach(Filler::close);
                        fillers.remove(socket, done);
                    },
                    FILLERS_CLOSE_DELAY_MS,
                    TimeUnit.MILLISECONDS); // kept until they have been accepted, so that isFiller recognizes them
        }
    }

    /** Whether a connection comes from one of the socket's fillers, which are hidden from the emulated server. */
    private boolean isFiller(Channel channel, int socket) {
        return fillers.getOrDefault(socket, List.of()).stream()
                .anyMatch(f -> f.local().equals(channel.remoteAddress()));
    }
}
