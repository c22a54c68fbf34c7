package cacheproxy.proxy.client;

import cacheproxy.flow.ConnectionMemory;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * The output of one client connection between two flushes. Short responses that follow one another are copied into one
 * buffer, as each buffer that the channel writes costs more than the copy. Event loop only.
 */
final class BatchedOutput {
    /** A longer part is written as it is, in bytes. */
    private static final int MAX_COPIED_BYTES = 512;
    /** The capacity of a batch, in bytes. */
    private static final int BATCH_BYTES = 4096;

    private final Supplier<ChannelHandlerContext> context;
    /** What the channel has not been given yet: one short part, or a batch of several. Null for none. */
    private ByteBuf waiting;
    /** The memory of responses that have been written and not flushed. */
    private final List<ConnectionMemory.Request> unflushedMemory = new ArrayList<>();
    /** Whether {@link #waiting} is a batch, to which parts can be added. */
    private boolean isBatch;
    /** The result of the last write; null before the first one. */
    private ChannelFuture lastWrite;

    /** {@code context}: the connection's, once it has one. */
    BatchedOutput(Supplier<ChannelHandlerContext> context) {
        this.context = context;
    }

    /** Writes a part, which it releases. The channel is given it at the latest at {@link #flush}. */
    void write(ByteBuf part) {
        if (part.readableBytes() > MAX_COPIED_BYTES) {
            passOn();
            lastWrite = context.get().write(part);
        } else if (waiting == null) {
            waiting = part;
        } else {
            addToBatch(part);
        }
    }

    private void addToBatch(ByteBuf part) {
        if (isBatch && waiting.writableBytes() < part.readableBytes()) {
            passOn();
        }
        if (!isBatch) {
            ByteBuf batch = context.get().alloc().ioBuffer(BATCH_BYTES);
            copy(waiting, batch);
            waiting = batch;
            isBatch = true;
        }
        copy(part, waiting);
    }

    /** Copies a part, which may be null, and releases it. */
    private static void copy(ByteBuf part, ByteBuf batch) {
        if (part != null) {
            batch.writeBytes(part);
            part.release();
        }
    }

    private void passOn() {
        if (waiting != null) {
            ByteBuf output = waiting;
            waiting = null;
            isBatch = false;
            lastWrite = context.get().write(output);
        }
    }

    /** Holds a response's memory until what has been written so far has reached the kernel or was discarded. */
    void holdUntilWritten(ConnectionMemory.Request memory) {
        unflushedMemory.add(memory);
    }

    /** Passes all output on to the kernel, as far as it takes it. */
    void flush() {
        passOn();
        context.get().flush();
        List<ConnectionMemory.Request> flushed = List.copyOf(unflushedMemory);
        unflushedMemory.clear();
        if (isInKernel()) {
            returnMemory(flushed);
        } else {
            afterLastWrite(() -> returnMemory(flushed));
        }
    }

    private static void returnMemory(List<ConnectionMemory.Request> written) {
        written.forEach(ConnectionMemory.Request::responseWritten);
    }

    /** Whether anything has been written. */
    boolean hasWritten() {
        return waiting != null || lastWrite != null;
    }

    /** Whether all that was written has reached the kernel. */
    boolean isInKernel() {
        return waiting == null && (lastWrite == null || lastWrite.isDone());
    }

    /** Runs an action once what has been flushed so far has reached the kernel or was discarded. */
    void afterLastWrite(Runnable action) {
        lastWrite.addListener(f -> action.run());
    }

    /** Discards what the channel has not been given, at the connection's end. */
    void discard() {
        returnMemory(unflushedMemory);
        unflushedMemory.clear();
        if (waiting != null) {
            waiting.release();
            waiting = null;
            isBatch = false;
        }
    }
}
