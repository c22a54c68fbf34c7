package cacheproxy.load;

import cacheproxy.emulator.TrafficClass;
import cacheproxy.emulator.meta.MetaAnswer;
import cacheproxy.emulator.meta.MetaAnswerDecoder;
import cacheproxy.load.Generator.Pending;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.traffic.ChannelTrafficShapingHandler;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;

/** A client connection of the generator with its pipelined requests, in the order in which responses are expected. */
final class Connection {
    /** How long after the head request's deadline its connection is kept open for a late response. */
    private static final long OVERDUE_NANOS = 300_000_000;

    private static final long CHECK_MS = 100;

    private final Generator generator;
    private final long untilNanos;
    private final ArrayDeque<Pending> pending = new ArrayDeque<>(4);
    private final ArrayDeque<Runnable> unsent = new ArrayDeque<>(4);
    private final MetaAnswerDecoder decoder = new MetaAnswerDecoder();
    private Channel channel;
    private boolean connected;
    private int port;
    private boolean ended;
    private boolean broken;
    private long answered;

    /** {@code untilNanos}: end of the connection's lifetime; it is then closed as soon as it has no request pending. */
    Connection(Generator generator, long untilNanos) {
        this.generator = generator;
        this.untilNanos = untilNanos;
    }

    boolean expired() {
        return untilNanos != Long.MAX_VALUE && System.nanoTime() - untilNanos > 0;
    }

    void open(Bootstrap bootstrap, InetSocketAddress to) {
        ChannelFuture future = bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        if (generator.readBytes() > 0) {
                            c.pipeline().addLast(new ChannelTrafficShapingHandler(0, generator.readBytes(), CHECK_MS));
                        }
                        c.pipeline().addLast(decoder, new Answers());
                    }
                })
                .connect(to);
        channel = future.channel();
        future.addListener(f -> {
            if (f.isSuccess()) {
                connected = true;
                port = ((InetSocketAddress) channel.localAddress()).getPort();
                unsent.forEach(Runnable::run);
                unsent.clear();
            } else {
                // If the socket could not be created, the channel has no event loop and the listener runs on another
                // thread.
                generator.loop().execute(() -> failed(f.cause()));
            }
        });
    }

    private void failed(Throwable cause) {
        ended = true;
        generator.connectFailed(this, cause);
    }

    /** Whether part of this request's value has arrived; a response that has started by the deadline is in time. */
    boolean isReceiving(Pending p) {
        return !ended && !broken && pending.peek() == p && decoder.inLongValue();
    }

    boolean connected() {
        return connected;
    }

    /** The local port; 0 until the connection is established. */
    int port() {
        return port;
    }

    long answered() {
        return answered;
    }

    int depth() {
        return pending.size();
    }

    /** Whether another request may be sent on it; false while the request at the head has passed its deadline. */
    boolean usable() {
        Pending head = pending.peek();
        return !ended && !broken && !expired() && pending.size() < generator.depth() && (head == null || !head.ended);
    }

    /** Whether every pending request has ended and the head's response is overdue by more than the limit. */
    boolean abandoned() {
        return !pending.isEmpty()
                && System.nanoTime() - pending.peek().deadlineNanos > OVERDUE_NANOS
                && pending.stream().allMatch(p -> p.ended);
    }

    Pending poll() {
        return pending.poll();
    }

    void close() {
        channel.close();
    }

    void send(Pending p, TrafficClass kind) {
        pending.add(p);
        p.on = this;
        if (connected) {
            write(p, kind);
        } else {
            unsent.add(() -> write(p, kind));
        }
    }

    private void write(Pending p, TrafficClass kind) {
        generator.written(p);
        long left = Math.max(1, (p.deadlineNanos - System.nanoTime()) / 1_000_000);
        StringBuilder line = new StringBuilder(96);
        line.append(p.planned.write() ? "ms " : "mg ").append(p.planned.key()).append(' ');
        if (p.planned.write()) {
            line.append(p.planned.valueBytes());
        } else {
            line.append('v');
        }
        line.append(" O")
                .append(p.id)
                .append(" Pc=")
                .append(kind.name())
                .append(",d=")
                .append(left);
        if (kind.kind() == TrafficClass.Kind.KEYED) {
            line.append(",k=").append(p.id);
        }
        line.append("\r\n");
        ByteBuf out = channel.alloc().buffer(line.length() + p.planned.valueBytes() + 2);
        ByteBufUtil.writeAscii(out, line);
        if (p.planned.write()) {
            for (int i = 0; i < p.planned.valueBytes(); i++) {
                out.writeByte('a' + i % 26);
            }
            out.writeByte('\r').writeByte('\n');
        }
        channel.writeAndFlush(out).addListener(f -> {
            // A reset may be reported only here. The server may have processed the pending requests, so they are not
            // resent.
            broken |= !f.isSuccess() && !(f.cause() instanceof ClosedChannelException);
        });
    }

    private final class Answers extends SimpleChannelInboundHandler<MetaAnswer> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaAnswer answer) {
            Pending head = pending.peek();
            if (broken) {
                return;
            }
            if (head == null || (answer.id() != null && !answer.id().equals(head.id))) {
                broken = true; // later responses can't be matched to requests
                generator.unsolicited(answer);
                ctx.close();
                return;
            }
            pending.poll();
            answered++;
            generator.answered(head, answer, port);
            if (pending.isEmpty()) {
                generator.freed(Connection.this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!ended) {
                ended = true;
                generator.ended(Connection.this, !broken);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            broken = true;
            ctx.close();
        }
    }
}
