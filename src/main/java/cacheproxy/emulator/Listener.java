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
 * The listening sockets of one stand-in and the connections that came through them. Sockets keep their addresses while
 * they are closed and opened again. Each socket is the end of a link of its own, whose ways can be changed. Used on the
 * event loop only, but for {@link #bind}.
 */
final class Listener {
    private static final long AGAIN_MS = 20;
    private static final int BACKLOG = 512;
    /** A queue of length 0 takes one; the second is for a race with a connection that was just coming up. */
    private static final int FILLERS = 2;

    private static final int FILLERS_GO_MS = 200;

    private final EventLoop loop;
    private final List<Channel> channels = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    /** Each with its link. */
    private final Map<Channel, Link> connections = new LinkedHashMap<>();

    private final Map<Integer, Ways> ways = new HashMap<>();
    /** What keeps the queue of a socket that is cut off full, so that no further connection comes up. */
    private final Map<Integer, List<Filler>> fillers = new HashMap<>();

    private final SplittableRandom random;
    private final ObjIntConsumer<Channel> accepted;
    private boolean open = true;
    private boolean frozen;

    private record Ways(LinkConditions in, LinkConditions out) {
        static final Ways OPEN = new Ways(LinkConditions.OPEN, LinkConditions.OPEN);

        boolean cut() {
            return in.cut() || out.cut();
        }
    }

    private record Link(int socket, LinkHandler handler) {}

    /** {@code accepted}: puts handlers in place on a new connection, told which socket it came through. */
    Listener(EventLoop loop, ObjIntConsumer<Channel> accepted) {
        this(loop, 0, accepted);
    }

    /** {@code seed}: of what its links draw. */
    Listener(EventLoop loop, long seed, ObjIntConsumer<Channel> accepted) {
        this.loop = loop;
        random = new SplittableRandom(seed);
        this.accepted = accepted;
    }

    /** Opens one more socket at a free port, waiting for it; not on the event loop. */
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
                        Ways w = ways.getOrDefault(number, Ways.OPEN);
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

    /** Ends all connections with a reset. */
    void reset() {
        for (Channel c : List.copyOf(connections.keySet())) {
            if (c instanceof SocketChannel s) {
                s.config().setSoLinger(0);
            }
            c.close();
        }
    }

    /** Ends all connections, gently. */
    void close() {
        List.copyOf(connections.keySet()).forEach(Channel::close);
    }

    /**
     * Refuses new connections from now on; those that stand are left alone. A socket that is cut off stays as it is
     * until the way is whole, as nobody could see a refusal before.
     */
    void shut() {
        open = false;
        for (int i = 0; i < channels.size(); i++) {
            if (!cut(i)) {
                channels.get(i).close();
            }
        }
    }

    /** Listens again where it did. {@code then} is told once all sockets are open. */
    void reopen(Runnable then) {
        open = true;
        int[] missing = {addresses.size()};
        for (int i = 0; i < addresses.size(); i++) {
            int number = i;
            if (channels.get(i).isOpen()) {
                missing[0]--; // cut off all the while
                continue;
            }
            rebind(number, c -> {
                channels.set(number, c);
                if (!open) {
                    c.close();
                    return;
                }
                if (cut(number)) {
                    hang(number, true);
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
                loop.schedule(() -> rebind(number, then), AGAIN_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** While frozen nothing is accepted or read. */
    void freeze(boolean on) {
        frozen = on;
        channels.forEach(c -> c.config().setAutoRead(!on));
        connections.forEach((c, link) -> readOrNot(c, link.socket()));
    }

    boolean frozen() {
        return frozen;
    }

    // ---- links

    /**
     * What happens from now on to what comes through this socket and what goes back. While either is cut no connection
     * comes up: the system's queue is made as short as can be and kept full, so that it drops what would open one, as
     * it drops it on a machine that is cut off.
     */
    void ways(int socket, LinkConditions in, LinkConditions out) {
        Ways before = ways.getOrDefault(socket, Ways.OPEN);
        Ways now = new Ways(in, out);
        if (now.equals(before)) {
            return;
        }
        ways.put(socket, now);
        if (now.cut() != before.cut()) {
            hang(socket, now.cut()); // before anybody can hear that the way is whole
        }
        connections.forEach((c, link) -> {
            if (link.socket() == socket) {
                link.handler().settle(in, out);
                readOrNot(c, socket);
            }
        });
        if (!now.cut() && !open) {
            channels.get(socket).close();
        }
    }

    private boolean cut(int socket) {
        return ways.getOrDefault(socket, Ways.OPEN).cut();
    }

    private void readOrNot(Channel connection, int socket) {
        connection
                .config()
                .setAutoRead(
                        !frozen && !ways.getOrDefault(socket, Ways.OPEN).in().cut());
    }

    private void hang(int socket, boolean on) {
        Channel channel = channels.get(socket);
        if (!(channel instanceof EpollServerSocketChannel epoll) || !channel.isOpen()) {
            return; // without the system's own call connections come up, and say nothing
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
                    FILLERS_GO_MS,
                    TimeUnit.MILLISECONDS); // known until they have been accepted
        }
    }

    /** Whether the other end of a connection is one of the socket's fillers, which no stand-in is to see. */
    private boolean isFiller(Channel channel, int socket) {
        return fillers.getOrDefault(socket, List.of()).stream()
                .anyMatch(f -> f.local().equals(channel.remoteAddress()));
    }
}
