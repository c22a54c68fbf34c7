package cacheproxy.proxy;

import cacheproxy.takeover.HandoverStateMachine;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
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
 * Where a successor asks: a local socket in the instance's private folder. Lines come in; the state goes out as one
 * line, then descriptors: the listening socket and, once this process has been told to end, its idle clients.
 */
final class HandoverLink {
    static final String STATE = "STATE " + TakeoverState.VERSION;
    static final String SOCKET = "SOCKET";
    static final String SERVING = "SERVING";
    private static final int MAX_LINE = 64;
    private static final int MAX_LINKS = 4;
    private static final String NAME = "takeover";
    /** Numbers those of one process, which only tests have several of. */
    private static final AtomicInteger LINKS = new AtomicInteger();

    private final EventLoop loop;
    private final Path folder;
    /** This process's own socket; null where nobody shares a folder. */
    private final Path own;

    private final HandoverStateMachine handover;
    private final Acceptor acceptor;
    private final Supplier<TakeoverState> state;
    private final Map<Long, Channel> links = new HashMap<>();
    private Channel successor;
    private long nextLink;
    private int passed;

    /** {@code state}: asked on the event loop. */
    HandoverLink(
            EventLoop loop,
            Path folder,
            HandoverStateMachine handover,
            Acceptor acceptor,
            Supplier<TakeoverState> state) {
        this.loop = loop;
        this.folder = folder;
        own = folder == null
                ? null
                : folder.resolve(NAME + "." + ProcessHandle.current().pid() + "." + LINKS.incrementAndGet());
        this.handover = handover;
        this.acceptor = acceptor;
        this.state = state;
    }

    /** The folder that processes of one instance share; null where there is none, or none that can be used. */
    static Path folder() {
        String folder = System.getenv("TMPDIR");
        return folder == null || folder.isEmpty() || !Transport.BEST.passesDescriptors() ? null : Path.of(folder);
    }

    static Path path(Path folder) {
        return folder.resolve(NAME);
    }

    /** Listens in the place of whoever did before; waits until it does, so not to be called on the event loop. */
    void open() throws IOException, InterruptedException {
        Files.deleteIfExists(own);
        new ServerBootstrap()
                .group(loop)
                .channel(Transport.BEST.localServer())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                })
                .bind(Transport.BEST.local(own))
                .sync();
        publish();
    }

    /**
     * Has the name that newcomers ask by lead here. Each process's socket keeps a file of its own: a successor that
     * goes has taken the name, and the old process would be out of reach for the next one.
     */
    private void publish() throws IOException {
        Path next = folder.resolve(own.getFileName() + ".name");
        Files.deleteIfExists(next);
        Files.createSymbolicLink(next, own.getFileName());
        Files.move(next, path(folder), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private void reclaim() {
        try {
            publish();
        } catch (IOException e) {
            System.err.println("takeover: no way back to the name: " + e.getMessage());
        }
    }

    /** Leaves nothing behind but the name, which may be a successor's. */
    void close() {
        try {
            if (own != null) {
                Files.deleteIfExists(own);
            }
        } catch (IOException e) {
            // the folder goes with the instance
        }
    }

    private void accepted(Channel channel) {
        if (links.size() >= MAX_LINKS) {
            channel.close();
            return;
        }
        long number = ++nextLink;
        links.put(number, channel);
        channel.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE), new Link(number));
    }

    /**
     * Passes a client's connection on. What it has sent and nobody has read waits in the system for the successor.
     *
     * @param done told whether that was done; the connection is then the successor's
     */
    void pass(Channel client, Consumer<Boolean> done) {
        if (successor == null || !handover.passesClients()) {
            done.accept(false);
            return;
        }
        successor.writeAndFlush(Transport.descriptor(client)).addListener(f -> {
            passed += f.isSuccess() ? 1 : 0;
            done.accept(f.isSuccess());
        });
    }

    /** Clients' connections that the successor has been given. */
    int passed() {
        return passed;
    }

    private final class Link extends SimpleChannelInboundHandler<ByteBuf> {
        private final long number;

        Link(long number) {
            this.number = number;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            boolean granted = switch (line.toString(StandardCharsets.US_ASCII)) {
                case STATE ->
                    handover.snapshotRequested(number) && say(ctx, state.get().json() + "\n");
                case SOCKET -> handover.socketRequested(number) && send(ctx, Transport.descriptor(acceptor.channel()));
                case SERVING -> handover.successorServes(number) && serves(ctx.channel());
                default -> false;
            };
            if (!granted) {
                ctx.close();
            }
        }

        private boolean say(ChannelHandlerContext ctx, String text) {
            ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), text));
            return true;
        }

        private boolean send(ChannelHandlerContext ctx, FileDescriptor descriptor) {
            ctx.writeAndFlush(descriptor);
            return true;
        }

        private boolean serves(Channel channel) {
            successor = channel;
            acceptor.accept(handover.acceptsConnections());
            return true;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            links.remove(number);
            boolean gone = handover.linkClosed(number);
            if (successor == ctx.channel()) {
                successor = null;
            }
            acceptor.accept(handover.acceptsConnections());
            if (gone) {
                reclaim();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
