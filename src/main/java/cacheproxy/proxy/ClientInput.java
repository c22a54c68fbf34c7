package cacheproxy.proxy;

import cacheproxy.flow.ArrivalTimes;
import cacheproxy.flow.ReadAheadBudget;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;

/**
 * How a client's connection is read: when its bytes came, how far it is read ahead while nothing more is taken from it,
 * and the search for its end while reading is paused.
 */
final class ClientInput {
    /** What is read in search of a client's end behind it. */
    private static final int SEARCH_BYTES = 1 << 20;
    /** Reads of one round of the event loop, after which more may be waiting (Netty's default). */
    private static final int MAX_READS = 16;

    private final Dispatcher dispatcher;
    private final ArrivalTimes arrivals = new ArrivalTimes();
    private final ReadAheadBudget.Reservation readAhead;
    private boolean paused;
    private boolean readWhilePaused;
    private int reads;

    ClientInput(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
        readAhead = dispatcher.bufferLimits().readAhead().newReservation();
    }

    /** Bytes have been read; {@code idle}: nothing of the client was under way before them. */
    void read(ChannelHandlerContext context, ByteBuf bytes, boolean idle) {
        if (!bytes.isReadable()) {
            return;
        }
        reads++;
        // Only a client's end is told of while nothing is read, and it is told once: it stands behind these bytes.
        readWhilePaused |= paused;
        arrivals.received(bytes.readableBytes(), dispatcher.inputReceivedMs(context.channel()), idle);
        if (bytes.isWritable()) {
            arrivals.backlogDrained(dispatcher.now());
        }
    }

    /** A round of reading is over; so many bytes wait to be looked at. */
    void readComplete(ChannelHandlerContext context, int waitingBytes) {
        if (!paused && reads < MAX_READS) {
            arrivals.backlogDrained(dispatcher.now());
        } else if (reads > 0) {
            arrivals.backlogPossible(dispatcher.now());
        }
        reads = 0;
        if (readWhilePaused) {
            readWhilePaused = false;
            if (waitingBytes < SEARCH_BYTES) {
                context.read();
            }
        }
    }

    /** Whether anything has come. */
    boolean any() {
        return arrivals.received() > 0;
    }

    /** When the last byte came that has been taken, so many being left. */
    double takenCameMs(int leftBytes) {
        return arrivals.arrivedAtMs(arrivals.received() - leftBytes);
    }

    /** When the first of the bytes came that are left. */
    double nextCameMs(int leftBytes) {
        return arrivals.arrivedAtMs(arrivals.received() - leftBytes + 1);
    }

    /** Nothing is taken for now, and so many bytes wait: reading goes on as far as there is room. */
    void blocked(ChannelHandlerContext context, int waitingBytes) {
        if (!readAhead.tryReserve(waitingBytes) && !paused) {
            arrivals.backlogPossible(dispatcher.now());
            paused = true;
            context.channel().config().setAutoRead(false);
        }
    }

    /** More is taken again. */
    void unblocked(ChannelHandlerContext context) {
        readAhead.release();
        if (paused) {
            paused = false;
            context.channel().config().setAutoRead(true);
        }
    }

    /** The connection has ended. */
    void release() {
        readAhead.release();
    }
}
