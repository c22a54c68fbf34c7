package cacheproxy.proxy.client;

import cacheproxy.flow.ArrivalTimes;
import cacheproxy.flow.ReadAheadBudget;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.transport.InputTurns;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;

/**
 * The input of one client connection: the arrival times of its bytes, how far reading may run ahead of decoding, and
 * the detection of the client's close while reading is paused. Event loop only.
 */
final class ClientInput {
    /** Reads of a connection in one iteration of the event loop, after which more input may wait in the kernel. */
    static final int MAX_READS = 8;
    /** What a read costs besides the decoding of its input, in microseconds. */
    private static final int READ_COST = 10;

    private final Dispatcher dispatcher;
    private final InputTurns.Turns turns;
    private final ArrivalTimes arrivals = new ArrivalTimes();
    private final ReadAheadBudget.Reservation readAhead;
    private boolean paused;
    private boolean readWhilePaused;
    private int reads;

    ClientInput(Dispatcher dispatcher, InputTurns.Turns turns, ReadAheadBudget.Reservation readAhead) {
        this.dispatcher = dispatcher;
        this.turns = turns;
        this.readAhead = readAhead;
    }

    /** Called when bytes have been read; {@code idle}: nothing of the client was in flight before them. */
    void received(ChannelHandlerContext context, ByteBuf bytes, boolean idle) {
        if (!bytes.isReadable()) {
            return;
        }
        reads++;
        turns.chargeRead(READ_COST);
        // While reading is paused, Netty reads only if the client has closed, and only once.
        readWhilePaused |= paused;
        arrivals.received(bytes.readableBytes(), dispatcher.inputReceivedMs(context.channel()), idle);
        if (bytes.isWritable()) {
            arrivals.backlogDrained(dispatcher.now());
        }
    }

    /**
     * Called after a round of reads. Returns whether there was one although reading is paused: the client may have
     * closed the connection behind input that is unread.
     */
    boolean readComplete() {
        if (!paused && reads < MAX_READS) {
            arrivals.backlogDrained(dispatcher.now());
        } else if (reads > 0) {
            arrivals.backlogPossible(dispatcher.now());
        }
        reads = 0;
        boolean mayBeClosed = readWhilePaused;
        readWhilePaused = false;
        return mayBeClosed;
    }

    /** Whether any input has arrived. */
    boolean hasReceivedInput() {
        return arrivals.received() > 0;
    }

    /** When the last decoded byte arrived, if {@code remainingBytes} are not decoded yet. */
    double lastDecodedArrivalMs(int remainingBytes) {
        return arrivals.arrivedAtMs(arrivals.received() - remainingBytes);
    }

    /** When the first of the bytes that are not decoded yet arrived. */
    double nextByteArrivalMs(int remainingBytes) {
        return arrivals.arrivedAtMs(arrivals.received() - remainingBytes + 1);
    }

    /**
     * Called while decoding is paused: pauses reading if the budget does not allow {@code waitingBytes} to be read
     * ahead.
     */
    void pauseIfFull(ChannelHandlerContext context, int waitingBytes) {
        if (!readAhead.tryReserve(waitingBytes)) {
            pause(context);
        }
    }

    /** Pauses reading, so that further input stays unread. */
    void pause(ChannelHandlerContext context) {
        if (!paused) {
            arrivals.backlogPossible(dispatcher.now());
            paused = true;
            context.channel().config().setAutoRead(false);
        }
    }

    boolean isPaused() {
        return paused;
    }

    /** Called when decoding has paused again: resumes reading if {@code waitingBytes} leave room for it. */
    void resumeIfRoom(ChannelHandlerContext context, int waitingBytes) {
        if (paused && readAhead.tryReserve(waitingBytes)) {
            paused = false;
            context.channel().config().setAutoRead(true);
        }
    }

    /** Called when all input has been decoded: returns the read-ahead budget and resumes reading. */
    void resume(ChannelHandlerContext context) {
        readAhead.release();
        if (paused) {
            paused = false;
            context.channel().config().setAutoRead(true);
        }
    }
}
