package cacheproxy.proxy.lifecycle;

import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.Transport;
import cacheproxy.proxy.client.ClientAcceptor;
import cacheproxy.proxy.transport.TurnedReading;
import cacheproxy.takeover.HandoverStateMachine;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.unix.FileDescriptor;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Serves the Unix domain socket through which a successor takes over, in the instance's private folder. Requests are
 * lines; the answers are the snapshot as one line, then file descriptors: the listening socket and, once this process
 * has received SIGTERM, the connections of its idle clients. Does the I/O for {@link HandoverStateMachine}; its
 * counterpart is {@link TakeoverClient}. On the event loop except for {@link #open}. The request lines:
 *
 * <pre>
 * STATE 1  {@link #SNAPSHOT_REQUEST}, with the snapshot's version
 * SOCKET   {@link #SOCKET_REQUEST}
 * SERVING  {@link #SERVING_REPORT}
 * IDS 1    {@link RequestIdExchange}, on a connection of its own
 * </pre>
 */
final class HandoverServer {
    static final String SNAPSHOT_REQUEST = "STATE " + TakeoverSnapshot.VERSION;
    static final String SOCKET_REQUEST = "SOCKET";
    static final String SERVING_REPORT = "SERVING";
    /** The longest line of a successor, in bytes: an id with its retention. */
    static final int MAX_LINE = 64;

    private static final int MAX_CONNECTIONS = 4;
    /** How many connections may wait to be accepted; a longer queue would take long to work off. */
    private static final int BACKLOG = 16;

    private static final String SOCKET_NAME = "takeover";
    /** Numbers the servers of one process; only tests have several. */
    private static final AtomicInteger SERVER_COUNT = new AtomicInteger();

    private final EventLoop loop;
    private final Path folder;
    /** This process's own socket; null without a folder. */
    private final Path ownSocket;

    private final HandoverStateMachine handover;
    private final ClientAcceptor acceptor;
    private final Supplier<TakeoverSnapshot> snapshot;
    private final Dispatcher dispatcher;
    private final Map<Long, Channel> connections = new HashMap<>();
    private Channel successor;
    private long lastNumber;
    private int passedClients;

    /**
     * Creates the server; {@link #open} starts it.
     *
     * @param folder the folder that the processes of one instance share; null for no takeover
     * @param snapshot supplies the snapshot, on the event loop
     * @param dispatcher whose requests' ids are exchanged with the successor
     */
    HandoverServer(
            EventLoop loop,
            Path folder,
            HandoverStateMachine handover,
            ClientAcceptor acceptor,
            Supplier<TakeoverSnapshot> snapshot,
            Dispatcher dispatcher) {
        this.loop = loop;
        this.folder = folder;
        ownSocket = folder == null
                ? null
                : folder.resolve(
                        SOCKET_NAME + "." + ProcessHandle.current().pid() + "." + SERVER_COUNT.incrementAndGet());
        this.handover = handover;
        this.acceptor = acceptor;
        this.snapshot = snapshot;
        this.dispatcher = dispatcher;
    }

    /**
     * The folder that the processes of one instance share; null if there is none, or file descriptors can't be passed.
     */
    static Path folder() {
        String folder = System.getenv("TMPDIR");
        return folder == null || folder.isEmpty() || !Transport.BEST.passesDescriptors() ? null : Path.of(folder);
    }

    /** The path at which a successor finds the socket of the process that serves. */
    static Path socketPath(Path folder) {
        return folder.resolve(SOCKET_NAME);
    }

    /** Listens in place of the previous process. Blocks, so it must not be called on the event loop. */
    void open() throws IOException, InterruptedException {
        Files.deleteIfExists(ownSocket);
        new ServerBootstrap()
                .group(loop)
                .channel(Transport.BEST.domainServer())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                })
                .bind(Transport.BEST.domainSocketAddress(ownSocket))
                .sync();
        publish();
    }

    /**
     * Points the well-known symbolic link at this process's socket. Each process has its own socket file: if the
     * successor bound the well-known path itself and then exited, the next successor could not reach this process.
     */
    private void publish() throws IOException {
        Path next = folder.resolve(ownSocket.getFileName() + ".name");
        Files.deleteIfExists(next);
        Files.createSymbolicLink(next, ownSocket.getFileName());
        Files.move(next, socketPath(folder), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private void republish() {
        try {
            publish();
        } catch (IOException e) {
            System.err.println("handover: failed to restore the symbolic link to the socket: " + e.getMessage());
        }
    }

    /** Deletes this process's socket file, but not the symbolic link, which may point at a successor's. */
    void close() {
        try {
            if (ownSocket != null) {
                Files.deleteIfExists(ownSocket);
            }
        } catch (IOException e) {
            // the folder is deleted with the instance
        }
    }

    private void accepted(Channel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            channel.close();
            return;
        }
        long number = ++lastNumber;
        connections.put(number, channel);
        TurnedReading reading = new TurnedReading(dispatcher.inputTurns(), true);
        channel.config().setRecvByteBufAllocator(reading.reads());
        channel.pipeline().addLast(reading, new LineBasedFrameDecoder(MAX_LINE), new RequestHandler(number));
    }

    /**
     * Passes a client's connection to the successor. Unread input stays in the kernel's receive buffer for the
     * successor.
     *
     * @param done receives whether the connection was passed and so belongs to the successor
     */
    void passClient(Channel client, Consumer<Boolean> done) {
        if (successor == null || !handover.passesClients()) {
            done.accept(false);
            return;
        }
        successor.writeAndFlush(Transport.descriptor(client)).addListener(f -> {
            passedClients += f.isSuccess() ? 1 : 0;
            done.accept(f.isSuccess());
        });
    }

    /** How many client connections were passed to the successor. */
    int passedClients() {
        return passedClients;
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final long number;
        /** Whether the lines are the ids of requests. */
        private boolean exchangesIds;

        RequestHandler(long number) {
            this.number = number;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (exchangesIds) {
                ctx.fireChannelRead(line.retain());
                return;
            }
            boolean granted = switch (line.toString(StandardCharsets.US_ASCII)) {
                case SNAPSHOT_REQUEST ->
                    handover.snapshotRequested(number)
                            && sendSnapshot(ctx, snapshot.get().toJson() + "\n");
                case SOCKET_REQUEST ->
                    handover.socketRequested(number)
                            && sendDescriptor(ctx, Transport.descriptor(acceptor.listeningChannel()));
                case RequestIdExchange.REQUEST -> exchangeIds(ctx);
                case SERVING_REPORT -> handover.successorServes(number) && successorServes(ctx.channel());
                default -> false;
            };
            if (!granted) {
                ctx.close();
            }
        }

        private boolean exchangeIds(ChannelHandlerContext ctx) {
            exchangesIds = true;
            ctx.pipeline().addLast(new RequestIdExchange(dispatcher.sharedRequestIds(), () -> {}));
            return true;
        }

        private boolean sendSnapshot(ChannelHandlerContext ctx, String text) {
            ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), text));
            return true;
        }

        private boolean sendDescriptor(ChannelHandlerContext ctx, FileDescriptor descriptor) {
            ctx.writeAndFlush(descriptor);
            return true;
        }

        private boolean successorServes(Channel channel) {
            successor = channel;
            acceptor.setAccepting(handover.acceptsConnections());
            return true;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(number);
            ctx.fireChannelInactive();
            boolean wasServing = handover.connectionClosed(number);
            if (successor == ctx.channel()) {
                successor = null;
            }
            acceptor.setAccepting(handover.acceptsConnections());
            if (wasServing) {
                republish();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
