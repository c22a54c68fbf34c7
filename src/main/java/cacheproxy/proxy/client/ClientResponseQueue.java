package cacheproxy.proxy.client;

import cacheproxy.flow.ConnectionMemory;
import cacheproxy.proxy.ClientRequest;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.ResponseWriter;
import cacheproxy.proxy.protocol.FlowControl;
import cacheproxy.proxy.protocol.MetaCodec;
import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.proxy.protocol.ServerResponse;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayDeque;

/**
 * Writes the responses of one client connection in the order of their requests. Responses that are ready early wait in
 * the queue; of streamed values, only the one at its head is read from its server. It is passed on as it arrives if no
 * other request waits behind it, and otherwise held until it is complete. Event loop only.
 */
final class ClientResponseQueue {
    /** A value of up to this length is copied into one buffer with its lines, in bytes. */
    private static final int MAX_COPIED_VALUE_BYTES = 4 << 10;
    /** Data of one response that waits for the responses before it: a short one has one part. */
    private static final int TYPICAL_PARTS = 1;

    private final ClientConnection connection;
    private final Dispatcher dispatcher;
    private final ArrayDeque<PendingResponse> pending = new ArrayDeque<>();
    private final BatchedOutput output;
    /** Whether something has been written that is not flushed. */
    private boolean unflushed;

    private int lastResponseBytes = MetaCodec.MAX_WHOLE_VALUE_BYTES;

    ClientResponseQueue(ClientConnection connection, Dispatcher dispatcher) {
        this.connection = connection;
        this.dispatcher = dispatcher;
        output = new BatchedOutput(connection::context);
    }

    /** How many responses are outstanding. */
    int size() {
        return pending.size();
    }

    /** The length of the next response, if it is like the one before; the longest that is held for a first one. */
    int expectedBytes() {
        return lastResponseBytes;
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Whether any response has been written on this connection. */
    boolean hasWritten() {
        return output.hasWritten();
    }

    /** Whether all that was written has reached the kernel; closing the output discards the rest. */
    boolean allWritten() {
        return output.isInKernel();
    }

    /** Whether the client's machine has received all that was written; the kernel having it does not suffice. */
    boolean allDelivered() {
        return allWritten()
                && dispatcher.tcpStatus().isOutputDelivered(context().channel());
    }

    /**
     * Passes a request to the dispatcher and adds its pending response to the queue; {@code memory}: what it is counted
     * to until it has been answered.
     */
    void accept(RequestCommand command, double receivedMs, ConnectionMemory.Account memory) {
        PendingResponse response = new PendingResponse(command.id);
        response.memory = memory.beginRequest(command.textLength(), command.write);
        response.request = new ClientRequest(response, command, receivedMs);
        pending.add(response);
        dispatcher.accept(response.request);
    }

    /** Responds to a line without the dispatcher. */
    void respond(String text) {
        PendingResponse response = new PendingResponse(null);
        pending.add(response);
        response.complete(MetaCodec.encode(context().alloc(), text));
    }

    /** Writes what is ready, as far as the order allows; it is flushed at the end of the event loop's turn. */
    void flush() {
        boolean wrote = false;
        PendingResponse head;
        while (!connection.finished() && (head = pending.peek()) != null && head.mayWrite()) {
            for (ByteBuf part; (part = head.ready.poll()) != null; ) {
                output.write(part);
                wrote = true;
            }
            if (!head.complete) {
                break;
            }
            pending.poll().written();
        }
        if (wrote) {
            connection.markActive();
            flushLater();
        }
        connection.updateBackpressure();
        connection.closeIfDue();
    }

    private void flushLater() {
        if (!context().channel().isWritable()) {
            unflushed = true;
            flushNow();
        } else if (!unflushed) {
            unflushed = true;
            connection.turns().flushLater(this::flushAtEndOfTurn);
        }
    }

    private void flushAtEndOfTurn() {
        if (unflushed) {
            flushNow();
            connection.updateBackpressure();
            connection.closeIfDue();
        }
    }

    /** Passes on to the kernel what has been written. */
    void flushNow() {
        if (!unflushed) {
            return;
        }
        unflushed = false;
        output.flush();
        if (!allWritten()) {
            output.afterLastWrite(this::reachedKernel);
        }
    }

    private void reachedKernel() {
        connection.updateBackpressure();
        connection.closeIfDue();
    }

    /** Pauses reading of values that can be neither written nor held now, and resumes the others. */
    void updateFlowControl() {
        for (PendingResponse response : pending) {
            if (response.source != null) {
                response.source.setPaused(response != pending.peek() || !response.mayRead());
            }
        }
    }

    /** Whether part of a value has been written that has not arrived completely. */
    boolean isPassingOnValue() {
        PendingResponse head = pending.peek();
        return head != null && head.begun && !head.complete;
    }

    /**
     * Discards outstanding responses at the connection's end; {@code closedByProxy}: it was not closed by the client.
     */
    void drop(boolean closedByProxy) {
        output.discard();
        for (PendingResponse response; (response = pending.poll()) != null; ) {
            response.drop(closedByProxy);
        }
    }

    private ChannelHandlerContext context() {
        return connection.context();
    }

    /** The response to one request, or to a line that is not a request. */
    private final class PendingResponse implements ResponseWriter {
        private final String id;
        /** Null for a response that does not come from the dispatcher. */
        private ClientRequest request;
        /** Data that has not been passed to the channel yet. */
        private final ArrayDeque<ByteBuf> ready = new ArrayDeque<>(TYPICAL_PARTS);
        /** Whether all of the response has arrived. */
        private boolean complete;
        /** The server of a streamed value, else null. */
        private FlowControl source;
        /** Bytes of a streamed value. */
        private int valueLength;
        /** How long its value may be held, in milliseconds. */
        private double maxHoldMs;
        /** Whether part of a streamed value has been written. */
        private boolean begun;
        /** The value, if it is held until it is complete; else null. */
        private HeldValue held;
        /** Null for a response that does not come from the dispatcher. */
        private ConnectionMemory.Request memory;
        /** Whether a response that is not complete is in its memory. */
        private boolean memoryClaimed;

        PendingResponse(String id) {
            this.id = id;
        }

        /** Called when all of it has been passed to the channel. */
        private void written() {
            if (memory != null) {
                memory.answered();
                output.holdUntilWritten(memory);
            }
        }

        private void complete(ByteBuf text) {
            ready.add(text);
            complete = true;
            if (memory != null) {
                lastResponseBytes = heldBytes();
                memory.responseArrived(lastResponseBytes);
            }
            flush();
        }

        private int heldBytes() {
            return ready.stream().mapToInt(ByteBuf::capacity).sum();
        }

        private void complete(String text) {
            complete(MetaCodec.encode(context().alloc(), text));
        }

        @Override
        public boolean claimMemory() {
            boolean claimed = !memoryClaimed && !complete;
            memoryClaimed |= claimed;
            return claimed;
        }

        @Override
        public void returnMemory() {
            memoryClaimed = false;
        }

        @Override
        public void detectDisconnect() {
            connection.detectDisconnect();
        }

        @Override
        public void writeResponse(ServerResponse response) {
            if (response instanceof ServerResponse.Receipt r) {
                complete(MetaCodec.receipt(id, r.receipt()));
            } else if (response instanceof ServerResponse.Value v
                    && v.value().readableBytes() <= MAX_COPIED_VALUE_BYTES) {
                complete(MetaCodec.encodeValue(context().alloc(), v.value(), id));
            } else if (response instanceof ServerResponse.Value v) {
                ready.add(MetaCodec.encode(
                        context().alloc(), MetaCodec.valueHeader(v.value().readableBytes(), id)));
                ready.add(v.value());
                complete("\r\n");
            } else if (response instanceof ServerResponse.LongValue v) {
                ready.add(MetaCodec.encode(context().alloc(), MetaCodec.valueHeader(v.length(), id)));
                ready.addAll(v.parts());
                complete("\r\n");
            } else {
                throw new IllegalStateException("EndOfValue without a preceding beginValue");
            }
        }

        @Override
        public void reject(double retryAfterMs) {
            complete(
                    retryAfterMs >= 1
                            ? MetaCodec.BUSY + " " + Math.round(retryAfterMs) + "\r\n"
                            : MetaCodec.BUSY + "\r\n");
        }

        @Override
        public void fail() {
            complete(MetaCodec.FAILED_LINE);
        }

        @Override
        public void rejectInvalid(String reason) {
            complete("CLIENT_ERROR " + reason + "\r\n");
        }

        /**
         * Whether what is ready may be written now; decides how a streamed value is passed on that has become first.
         */
        private boolean mayWrite() {
            if (complete || begun || ready.isEmpty()) {
                return true;
            }
            if (held == null && pending.size() == 1 && !connection.mayHaveWaitingCommands()) {
                begun = true;
                connection.valueBegun();
            } else if (held == null) {
                hold();
            }
            return begun;
        }

        private boolean mayRead() {
            return held != null ? held.isGranted() : context().channel().isWritable();
        }

        private void hold() {
            held = new HeldValue(
                    context().alloc(), dispatcher.bufferLimits().values(), valueLength, connection::updateBackpressure);
            dispatcher.after(held.isRejected() ? 0 : maxHoldMs, this::holdTimedOut);
        }

        private void holdTimedOut() {
            if (!complete && pending.contains(this)) {
                dispatcher.valueTimedOut(request);
            }
        }

        @Override
        public void beginValue(int length, FlowControl flowControl) {
            source = flowControl;
            valueLength = length;
            maxHoldMs = Math.max(0, request.deadlineMs() - dispatcher.now());
            writePart(MetaCodec.encode(context().alloc(), MetaCodec.valueHeader(length, id)));
        }

        @Override
        public void writePart(ByteBuf part) {
            if (connection.finished()) {
                part.release();
            } else if (held != null && !complete) {
                held.add(part);
            } else {
                ready.add(part);
            }
            flush();
        }

        @Override
        public void endValue() {
            source = null; // cleared first, or the write would pause the connection on which the next response arrives
            complete = true;
            if (held != null) {
                ready.addAll(held.takeParts());
            }
            writePart(MetaCodec.encode(context().alloc(), "\r\n"));
        }

        /**
         * Closes the connection behind what has been written if that is part of the value: nothing else tells the
         * client that it is incomplete. No request of the client waits behind it then, but it may still be reading
         * earlier responses.
         */
        @Override
        public void abort() {
            resumeSource();
            release();
            if (begun) {
                pending.remove(this);
                written();
                connection.closeAfterOutput();
            } else {
                fail();
            }
        }

        /** Resumes reading from the value's server, on whose connection other responses may follow. */
        private void resumeSource() {
            if (source != null) {
                source.setPaused(false);
                source = null;
            }
        }

        private void release() {
            for (ByteBuf part; (part = ready.poll()) != null; ) {
                part.release();
            }
            if (held != null && !complete) {
                held.release();
            }
        }

        private void drop(boolean closedByProxy) {
            release();
            if (memory != null) {
                memory.answered();
                memory.responseWritten();
            }
            resumeSource();
            if (request != null) {
                dispatcher.clientDisconnected(request, closedByProxy);
            }
        }
    }
}
