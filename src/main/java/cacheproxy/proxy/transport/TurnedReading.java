package cacheproxy.proxy.transport;

import cacheproxy.flow.ReadSizeLimit;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Reads a connection in the turns of its event loop: once the handling of its input has used its quantum, reading
 * pauses until its next turn. The first handler of its channel, and the only one that switches automatic reads. Event
 * loop only.
 */
public final class TurnedReading extends ChannelInboundHandlerAdapter {
    private static final RecvByteBufAllocator SIZES = new AdaptiveRecvByteBufAllocator(
            ReadSizeLimit.MIN_BYTES, ReadSizeLimit.FIRST_BYTES, ReadSizeLimit.MAX_BYTES);

    private final InputTurns.Turns turns;
    private final ReadSizeLimit limit = new ReadSizeLimit();
    private final RecvByteBufAllocator reads;
    private ChannelHandlerContext context;
    /** Whether the connection's owner wants input. */
    private boolean wanted;

    private boolean awaitsTurn;
    /** What the last read cost, in microseconds. */
    private int lastCost;
    /** What has been charged for a read that is still to come, as it happens outside of the turn. */
    private int prepaidCost;

    /**
     * The reading of a server's connection that shares these turns; {@code wanted}: whether its owner wants input from
     * the start.
     */
    public TurnedReading(InputTurns inputTurns, boolean wanted) {
        this.wanted = wanted;
        turns = inputTurns.newServerTurns(this::turnCame);
        reads = new TurnLimitedReads(SIZES, turns::mayWork, () -> limit.nextBytes(turns.mayWork()));
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** The sizes of the channel's reads. */
    public RecvByteBufAllocator reads() {
        return reads;
    }

    /** Starts to read, or pauses. */
    public void setWanted(boolean on) {
        wanted = on;
        update();
    }

    private void update() {
        if (context != null) {
            context.channel().config().setAutoRead(wanted && !awaitsTurn);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object input) {
        int bytes = input instanceof ByteBuf buffer ? buffer.readableBytes() : 0; // or a descriptor
        long beganNanos = System.nanoTime();
        ctx.fireChannelRead(input);
        lastCost = InputTurns.costSince(beganNanos);
        limit.recordCost(bytes, lastCost);
        turns.charge(Math.max(0, lastCost - prepaidCost));
        prepaidCost = Math.max(0, prepaidCost - lastCost);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        ctx.fireChannelReadComplete();
        if (!turns.mayWork() && ctx.channel().isActive()) {
            awaitsTurn = true;
            turns.await();
            update();
        }
    }

    private void turnCame() {
        if (!turns.mayWork()) {
            turns.await();
            return;
        }
        turns.charge(lastCost);
        prepaidCost = lastCost;
        awaitsTurn = false;
        update();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        turns.cancel();
        ctx.fireChannelInactive();
    }
}
