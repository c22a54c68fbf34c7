package cacheproxy.proxy.lifecycle;

import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.Transport;
import cacheproxy.proxy.transport.HandlerInitializer;
import cacheproxy.proxy.transport.TurnedReading;
import cacheproxy.takeover.TakeoverStateMachine;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollDomainSocketChannel;
import io.netty.channel.unix.DomainSocketReadMode;
import io.netty.channel.unix.FileDescriptor;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Requests the snapshot, the listening socket and then the client connections of the predecessor, if there is one. Does
 * the I/O for {@link TakeoverStateMachine}; its counterpart is {@link HandoverServer}. On the event loop except for
 * {@link #snapshot} and {@link #socket}, which block.
 */
final class TakeoverClient {
    private static final int MAX_SNAPSHOT_BYTES = 4 << 20;
    private static final int TICK_MS = 50;

    private final EventLoop loop;
    private final Promise<TakeoverSnapshot> snapshot;
    private final Promise<FileDescriptor> socket;
    /** Done once the ids that the predecessor has in use are known, or can't be had. */
    private final Promise<Void> requestIdsKnown;

    private final Path path;
    private final Dispatcher dispatcher;
    private final TakeoverStateMachine takeover = new TakeoverStateMachine(now());
    private final double requestedMs = now();
    private int snapshotLength;
    private Channel channel;
    private Consumer<FileDescriptor> onClientPassed;

    private TakeoverClient(EventLoop loop, Path path, Dispatcher dispatcher) {
        this.loop = loop;
        this.path = path;
        this.dispatcher = dispatcher;
        requestIdsKnown = loop.newPromise();
        snapshot = loop.newPromise();
        socket = loop.newPromise();
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    /**
     * Connects to the process that serves with this folder; null if there is no folder or no such process.
     *
     * @param dispatcher whose requests' ids are exchanged with that process
     */
    static TakeoverClient connect(EventLoop loop, Path folder, Dispatcher dispatcher) {
        if (folder == null || !Files.exists(HandoverServer.socketPath(folder))) {
            return null;
        }
        TakeoverClient client = new TakeoverClient(loop, HandoverServer.socketPath(folder), dispatcher);
        loop.execute(client::connect);
        return client;
    }

    private Bootstrap bootstrap(ChannelHandler... handlers) {
        return new Bootstrap()
                .group(loop)
                .channel(Transport.BEST.domainSocket())
                .handler(new HandlerInitializer(handlers));
    }

    private SocketAddress address() {
        return Transport.BEST.domainSocketAddress(path);
    }

    private void connect() {
        channel = bootstrap(new LineBasedFrameDecoder(MAX_SNAPSHOT_BYTES), new AnswerHandler())
                .connect(address())
                .addListener(f -> {
                    if (f.isSuccess()) {
                        send(HandoverServer.SNAPSHOT_REQUEST);
                    } else {
                        connectionLost();
                    }
                })
                .channel();
        tick();
    }

    private void exchangeRequestIds() {
        TurnedReading reading = new TurnedReading(dispatcher.inputTurns(), true);
        bootstrap(
                        reading,
                        new LineBasedFrameDecoder(HandoverServer.MAX_LINE),
                        new RequestIdExchange(dispatcher.sharedRequestIds(), () -> requestIdsKnown.trySuccess(null)))
                .option(ChannelOption.RECVBUF_ALLOCATOR, reading.reads())
                .connect(address())
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        requestIdsKnown.trySuccess(null);
                    }
                });
    }

    /**
     * Returns once the ids that the predecessor has in use are known; after a timeout without them, as the predecessor
     * may be of an earlier version or hang. Blocks, so it must not be called on the event loop.
     */
    void awaitRequestIds() throws InterruptedException {
        requestIdsKnown.await((long) TakeoverStateMachine.ANSWER_TIMEOUT_MS);
    }

    private void tick() {
        if (takeover.checkTimeout(now())) {
            channel.close();
            connectionLost();
        } else if (!snapshot.isDone() || !socket.isDone()) {
            loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The predecessor's snapshot; null if it sends none. Blocks, so it must not be called on the event loop. */
    TakeoverSnapshot snapshot() throws InterruptedException {
        return snapshot.sync().getNow();
    }

    /**
     * The predecessor's listening socket; null if it passes none. Blocks, so it must not be called on the event loop.
     */
    FileDescriptor socket() throws InterruptedException {
        return socket.sync().getNow();
    }

    /**
     * Reports to the predecessor that this process serves. From then on each client connection that the predecessor
     * passes is given to {@code adopt}.
     */
    void reportServing(Consumer<FileDescriptor> adopt) {
        loop.execute(() -> {
            onClientPassed = adopt;
            send(HandoverServer.SERVING_REPORT);
        });
    }

    /** The log line on the takeover. */
    String summary() {
        return "takeover completed: duration_ms=%.1f snapshot_bytes=%d".formatted(now() - requestedMs, snapshotLength);
    }

    private void send(String line) {
        channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), line + "\n"));
    }

    private void connectionLost() {
        takeover.connectionClosed();
        snapshot.trySuccess(null);
        socket.trySuccess(null);
    }

    private static void close(FileDescriptor descriptor) {
        try {
            descriptor.close();
        } catch (IOException e) {
            // Nothing else can be done with the descriptor.
        }
    }

    private final class AnswerHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof FileDescriptor descriptor) {
                descriptorReceived(descriptor);
            } else if (message instanceof ByteBuf line) {
                snapshotReceived(ctx, line.toString(StandardCharsets.UTF_8));
                line.release();
            }
        }

        private void snapshotReceived(ChannelHandlerContext ctx, String line) {
            TakeoverSnapshot read = null;
            snapshotLength = line.length();
            try {
                read = TakeoverSnapshot.parse(line);
            } catch (RuntimeException e) {
                System.err.println("takeover: unreadable snapshot: "
                        + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            }
            if (takeover.snapshotReceived(now(), read != null)) {
                // Must precede the request for the socket: in byte mode, a received descriptor would be dropped.
                ((EpollDomainSocketChannel) ctx.channel()).config().setReadMode(DomainSocketReadMode.FILE_DESCRIPTORS);
                send(HandoverServer.SOCKET_REQUEST);
                exchangeRequestIds();
                snapshot.trySuccess(read);
            } else {
                ctx.close();
            }
        }

        private void descriptorReceived(FileDescriptor descriptor) {
            if (takeover.descriptorReceived()) {
                socket.trySuccess(descriptor);
            } else if (onClientPassed != null) {
                onClientPassed.accept(descriptor);
            } else {
                close(descriptor);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connectionLost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
