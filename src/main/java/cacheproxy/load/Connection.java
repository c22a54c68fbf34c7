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

/** One of a generator's connections with the requests on it, in the order in which their answers are due. */
final class Connection {
    /** For how long a late answer is listened for. */
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

    /** {@code untilNanos}: when it is old, and ended between requests. */
    Connection(Generator generator, long untilNanos) {
        this.generator = generator;
        this.untilNanos = untilNanos;
    }

    boolean old() {
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
                // A socket that could not even be opened has no event loop and tells on another thread.
                generator.loop().execute(() -> failed(f.cause()));
            }
        });
    }

    private void failed(Throwable cause) {
        ended = true;
        generator.connectFailed(this, cause);
    }

    /** Whether this request's answer is a long one that has begun to come: its first bytes are what was in time. */
    boolean receives(Pending p) {
        return !ended && !broken && pending.peek() == p && decoder.inLongValue();
    }

    boolean connected() {
        return connected;
    }

    /** The client's port; 0 before the connection has come up. */
    int port() {
        return port;
    }

    long answered() {
        return answered;
    }

    int depth() {
        return pending.size();
    }

    /** Whether one more request may go onto it: not behind one that has been given up. */
    boolean usable() {
        Pending head = pending.peek();
        return !ended && !broken && !old() && pending.size() < generator.depth() && (head == null || !head.ended);
    }

    /** Nobody waits for what is on it any more, and an answer is long overdue. */
    boolean spent() {
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
            // A reset may be seen here and nowhere else; what was on the connection may have been had.
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
                broken = true; // what follows can't be told whose it is
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
