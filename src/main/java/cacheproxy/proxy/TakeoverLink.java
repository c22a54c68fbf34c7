package cacheproxy.proxy;

import cacheproxy.takeover.TakeoverStateMachine;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollDomainSocketChannel;
import io.netty.channel.unix.DomainSocketReadMode;
import io.netty.channel.unix.FileDescriptor;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Asks the process that serves, where there is one, for its state, its listening socket and then its clients. */
final class TakeoverLink {
    private static final int MAX_STATE = 4 << 20;
    private static final int STEP_MS = 50;

    private final EventLoop loop;
    private final Promise<TakeoverState> state;
    private final Promise<FileDescriptor> socket;
    private final TakeoverStateMachine takeover = new TakeoverStateMachine(now());
    private final double askedMs = now();
    private int bytes;
    private Channel channel;
    private Consumer<FileDescriptor> clients;

    private TakeoverLink(EventLoop loop) {
        this.loop = loop;
        state = loop.newPromise();
        socket = loop.newPromise();
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    /** Asks in this folder; null where nobody can answer. The state comes, or does not, by {@link #state}. */
    static TakeoverLink ask(EventLoop loop, Path folder) {
        if (folder == null || !Files.exists(HandoverLink.path(folder))) {
            return null;
        }
        TakeoverLink link = new TakeoverLink(loop);
        loop.execute(() -> link.connect(HandoverLink.path(folder)));
        return link;
    }

    private void connect(Path path) {
        channel = new Bootstrap()
                .group(loop)
                .channel(Transport.BEST.localSocket())
                .handler(new Initializer(new LineBasedFrameDecoder(MAX_STATE), new Answers()))
                .connect(Transport.BEST.local(path))
                .addListener(f -> {
                    if (f.isSuccess()) {
                        say(HandoverLink.STATE);
                    } else {
                        lost();
                    }
                })
                .channel();
        tick();
    }

    private void tick() {
        if (takeover.checkTimeout(now())) {
            channel.close();
            lost();
        } else if (!state.isDone() || !socket.isDone()) {
            loop.schedule(this::tick, STEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The old process's state; null if it gives none. Waits, so not to be called on the event loop. */
    TakeoverState state() throws InterruptedException {
        return state.sync().getNow();
    }

    /** The old process's listening socket; null if it gives none. Waits, so not to be called on the event loop. */
    FileDescriptor socket() throws InterruptedException {
        return socket.sync().getNow();
    }

    /** This process serves: from here on these are handed the clients that the old one passes on. */
    void serving(Consumer<FileDescriptor> adopt) {
        loop.execute(() -> {
            clients = adopt;
            say(HandoverLink.SERVING);
        });
    }

    /** What has come over, and how long it took, in words for the log. */
    String told() {
        return "took over in %.1f ms, with %d bytes of what the old process knew".formatted(now() - askedMs, bytes);
    }

    private void say(String line) {
        channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), line + "\n"));
    }

    private void lost() {
        takeover.linkClosed();
        state.trySuccess(null);
        socket.trySuccess(null);
    }

    private static void close(FileDescriptor descriptor) {
        try {
            descriptor.close();
        } catch (IOException e) {
            // it has gone already
        }
    }

    private final class Answers extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof FileDescriptor descriptor) {
                taken(descriptor);
            } else if (message instanceof ByteBuf line) {
                told(ctx, line.toString(StandardCharsets.UTF_8));
                line.release();
            }
        }

        private void told(ChannelHandlerContext ctx, String line) {
            TakeoverState read = null;
            bytes = line.length();
            try {
                read = TakeoverState.read(line);
            } catch (RuntimeException e) {
                System.err.println("takeover: the old process's state can't be read: "
                        + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            }
            if (takeover.snapshotReceived(now(), read != null)) {
                // Before the socket is asked for: read as bytes, a descriptor would be dropped.
                ((EpollDomainSocketChannel) ctx.channel()).config().setReadMode(DomainSocketReadMode.FILE_DESCRIPTORS);
                say(HandoverLink.SOCKET);
                state.trySuccess(read);
            } else {
                ctx.close();
            }
        }

        private void taken(FileDescriptor descriptor) {
            if (takeover.descriptorReceived()) {
                socket.trySuccess(descriptor);
            } else if (clients != null) {
                clients.accept(descriptor);
            } else {
                close(descriptor);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
