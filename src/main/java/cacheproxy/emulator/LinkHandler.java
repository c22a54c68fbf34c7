package cacheproxy.emulator;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Applies the link conditions to a connection's inbound and outbound bytes, as the first handler of its pipeline. A
 * stream loses nothing and keeps its order, as over TCP; it is delayed, stalled or reset. During a partition data is
 * held back, and it is passed on when the partition ends, as retransmissions would deliver it. Confined to the
 * channel's event loop.
 */
final class LinkHandler extends ChannelDuplexHandler {
    /** Initial TCP retransmission timeout that is emulated for a lost segment; doubles with each retry. */
    private static final double RETRANSMISSION_MS = 200;

    private static final int MAX_RETRANSMISSIONS = 5;

    /** One direction. */
    private final class Direction {
        private final boolean inbound;
        private final ArrayDeque<Held> held = new ArrayDeque<>();
        private LinkConditions way = LinkConditions.OPEN;
        private double lastDueMs;
        /** Whether a segment has stalled half way; until the conditions change. */
        private boolean stalled;

        private boolean scheduled;

        Direction(boolean inbound) {
            this.inbound = inbound;
        }

        void setConditions(LinkConditions next) {
            way = next;
            stalled = false;
            release();
        }

        void take(Object message, ChannelPromise promise) {
            if (!inbound && way.reset() > 0 && random.nextDouble() < way.reset()) {
                ReferenceCountUtil.release(message);
                promise.tryFailure(new ClosedChannelException());
                reset(ctx.channel());
                return;
            }
            Object rest = message;
            ChannelPromise last = promise;
            boolean stalls = false;
            if (!inbound
                    && way.hold() > 0
                    && message instanceof ByteBuf b
                    && b.readableBytes() > 1
                    && random.nextDouble() < way.hold()) {
                ByteBuf half = b.readRetainedSlice(b.readableBytes() / 2);
                add(half, ctx.newPromise(), false);
                stalls = true;
            }
            add(rest, last, stalls);
            release();
        }

        private void add(Object message, ChannelPromise promise, boolean stalls) {
            double due = nowMs() + way.delayMs() + way.jitterMs() * random.nextDouble() + retransmissionDelay();
            lastDueMs = Math.max(lastDueMs, due);
            held.add(new Held(message, promise, lastDueMs, stalls));
        }

        private double retransmissionDelay() {
            double late = 0;
            for (int i = 0; i < MAX_RETRANSMISSIONS && way.lose() > 0 && random.nextDouble() < way.lose(); i++) {
                late += RETRANSMISSION_MS * (1 << i);
            }
            return late;
        }

        /** Passes on the messages that are due. */
        void release() {
            boolean passed = false;
            double now = nowMs();
            while (!held.isEmpty() && !way.cut() && !stalled) {
                Held next = held.peek();
                if (next.dueMs() > now) {
                    scheduleRelease(next.dueMs() - now);
                    break;
                }
                if (next.stalls()) {
                    stalled = true;
                    held.poll();
                    held.addFirst(new Held(next.message(), next.promise(), next.dueMs(), false));
                    break;
                }
                held.poll();
                passed = true;
                pass(next);
            }
            if (passed && inbound) {
                ctx.fireChannelReadComplete();
            } else if (passed) {
                ctx.flush();
            }
        }

        private void pass(Held next) {
            if (inbound) {
                ctx.fireChannelRead(next.message());
            } else if (next.message() == CLOSE) {
                ctx.close(next.promise());
            } else {
                ctx.write(next.message(), next.promise());
            }
        }

        private void scheduleRelease(double inMs) {
            if (!scheduled) {
                scheduled = true;
                ctx.executor()
                        .schedule(
                                () -> {
                                    scheduled = false;
                                    release();
                                },
                                (long) Math.ceil(inMs * 1e6),
                                TimeUnit.NANOSECONDS);
            }
        }

        @SuppressWarnings("ReferenceEquality") // Links returns the constant itself for a healthy link
        boolean isTransparent() {
            return way == LinkConditions.OPEN && held.isEmpty() && !stalled;
        }

        void drop() {
            for (Held h; (h = held.poll()) != null; ) {
                if (h.message() != CLOSE) {
                    ReferenceCountUtil.release(h.message());
                }
                if (h.promise() != null) {
                    h.promise().tryFailure(new ClosedChannelException());
                }
            }
        }
    }

    private record Held(Object message, ChannelPromise promise, double dueMs, boolean stalls) {}

    private static final Object CLOSE = new Object();

    private final SplittableRandom random;
    private final Direction in = new Direction(true);
    private final Direction out = new Direction(false);
    private ChannelHandlerContext ctx;

    /** Starts with these conditions. */
    LinkHandler(LinkConditions in, LinkConditions out, SplittableRandom random) {
        this.random = random;
        this.in.way = in;
        this.out.way = out;
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private static void reset(Channel channel) {
        if (channel instanceof SocketChannel s) {
            s.config().setSoLinger(0);
        }
        channel.unsafe().close(channel.unsafe().voidPromise());
    }

    /** Applies changed conditions; ends a stall and releases the data that is due. */
    void setConditions(LinkConditions inbound, LinkConditions outbound) {
        in.setConditions(inbound);
        out.setConditions(outbound);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        in.drop();
        out.drop();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (in.isTransparent()) {
            context.fireChannelRead(message);
        } else {
            in.take(message, null);
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (out.isTransparent()) {
            context.write(message, promise);
        } else {
            out.take(message, promise);
        }
    }

    /** A close is queued behind the bytes written before it. */
    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        if (out.held.isEmpty() && !out.way.cut()) {
            context.close(promise);
        } else {
            out.add(CLOSE, promise, false);
            out.release();
        }
    }
}
