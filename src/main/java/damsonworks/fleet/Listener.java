package damsonworks.fleet;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ObjIntConsumer;

/**
 * The listening sockets of one stand-in and the connections that came through them. Sockets keep their addresses
 * while they are closed and opened again. Used on the event loop only, but for {@link #bind}.
 */
final class Listener {
    private static final long AGAIN_MS = 20;

    private final EventLoop loop;
    private final List<Channel> channels = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Set<Channel> connections = new HashSet<>();
    private final ObjIntConsumer<Channel> accepted;
    private boolean open = true;
    private boolean frozen;

    /** {@code accepted}: puts handlers in place on a new connection, told which socket it came through. */
    Listener(EventLoop loop, ObjIntConsumer<Channel> accepted) {
        this.loop = loop;
        this.accepted = accepted;
    }

    /** Opens one more socket at a free port, waiting for it; not on the event loop. */
    InetSocketAddress bind() {
        int number = addresses.size();
        Channel channel = bootstrap(number).bind("127.0.0.1", 0).syncUninterruptibly().channel();
        channels.add(channel);
        addresses.add((InetSocketAddress) channel.localAddress());
        return addresses.get(number);
    }

    private ServerBootstrap bootstrap(int number) {
        return new ServerBootstrap().group(loop, loop).channel(Sockets.BEST.server())
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.TCP_NODELAY, true).childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.closeFuture().addListener(f -> connections.remove(channel));
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
        for (Channel c : List.copyOf(connections)) {
            if (c instanceof SocketChannel s) {
                s.config().setSoLinger(0);
            }
            c.close();
        }
    }

    /** Ends all connections, gently. */
    void close() {
        List.copyOf(connections).forEach(Channel::close);
    }

    /** Refuses new connections from now on; those that stand are left alone. */
    void shut() {
        open = false;
        channels.forEach(Channel::close);
    }

    /** Listens again where it did. {@code then} is told once all sockets are open. */
    void reopen(Runnable then) {
        open = true;
        int[] missing = {addresses.size()};
        for (int i = 0; i < addresses.size(); i++) {
            int number = i;
            rebind(number, c -> {
                channels.set(number, c);
                if (!open) {
                    c.close();
                } else if (--missing[0] == 0) {
                    then.run();
                }
            });
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
        connections.forEach(c -> c.config().setAutoRead(!on));
    }

    boolean frozen() {
        return frozen;
    }
}
