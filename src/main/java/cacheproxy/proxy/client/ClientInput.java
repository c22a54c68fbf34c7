package cacheproxy.proxy.client;

import cacheproxy.flow.ArrivalTimes;
import cacheproxy.flow.ReadAheadBudget;
import cacheproxy.proxy.Dispatcher;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;

/**
 * The input of one client connection: when its bytes arrived, how far it is read ahead of what is decoded, and the
 * search for the client's end while reading is paused. On the event loop only.
 */
final class ClientInput {
    /** How much is read in search of a client's end behind it, in bytes. */
    private static final int CLOSE_DETECTION_BYTES = 1 << 20;
    /** Reads in one round of the event loop, after which more input may be waiting (Netty's default). */
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

    /** Bytes have been read; {@code idle}: nothing of the client was in flight before them. */
    void received(ChannelHandlerContext context, ByteBuf bytes, boolean idle) {
        if (!bytes.isReadable()) {
            return;
        }
        reads++;
        // While reading is paused Netty reads only when the client has closed, and once: its end is behind these bytes.
        readWhilePaused |= paused;
        arrivals.received(bytes.readableBytes(), dispatcher.inputReceivedMs(context.channel()), idle);
        if (bytes.isWritable()) {
            arrivals.backlogDrained(dispatcher.now());
        }
    }

    /** A round of reading is over; so many bytes wait to be decoded. */
    void readComplete(ChannelHandlerContext context, int waitingBytes) {
        if (!paused && reads < MAX_READS) {
            arrivals.backlogDrained(dispatcher.now());
        } else if (reads > 0) {
            arrivals.backlogPossible(dispatcher.now());
        }
        reads = 0;
        if (readWhilePaused) {
            readWhilePaused = false;
            if (waitingBytes < CLOSE_DETECTION_BYTES) {
                context.read();
            }
        }
    }

    /** Whether anything has arrived. */
    boolean hasReceivedInput() {
        return arrivals.received() > 0;
    }

    /** When the last byte arrived that has been decoded, so many being left. */
    double lastDecodedArrivalMs(int remainingBytes) {
        return arrivals.arrivedAtMs(arrivals.received() - remainingBytes);
    }

    /** When the first of the bytes arrived that are left. */
    double nextByteArrivalMs(int remainingBytes) {
        return arrivals.arrivedAtMs(arrivals.received() - remainingBytes + 1);
    }

    /** Nothing is decoded for now, and so many bytes wait: pauses reading where there is no budget to read ahead. */
    void pauseIfFull(ChannelHandlerContext context, int waitingBytes) {
        if (!readAhead.tryReserve(waitingBytes) && !paused) {
            arrivals.backlogPossible(dispatcher.now());
            paused = true;
            context.channel().config().setAutoRead(false);
        }
    }

    /** Decoding goes on. */
    void resume(ChannelHandlerContext context) {
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
