package cacheproxy.proxy.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import java.util.ArrayDeque;

/**
 * Collects a value while it is received, in parts of equal size. A single growing buffer would exist twice while it
 * grows, and slices of the input would retain whole read buffers for a few bytes each.
 */
public final class ValueBuffer {
    private static final int PART_BYTES = 64 << 10;

    private final ByteBufAllocator allocator;
    private final ArrayDeque<ByteBuf> parts = new ArrayDeque<>();
    private int remainingBytes;
    private int length;

    /** Creates a buffer for at most {@code length} bytes. */
    public ValueBuffer(ByteBufAllocator allocator, int length) {
        this.allocator = allocator;
        remainingBytes = length;
    }

    /** Takes this many bytes from the input; at most those that are still missing. */
    public void add(ByteBuf in, int bytes) {
        for (int left = bytes; left > 0; ) {
            ByteBuf last = parts.peekLast();
            if (last == null || !last.isWritable()) {
                int size = Math.min(remainingBytes, PART_BYTES);
                last = allocator.buffer(size, size);
                parts.add(last);
            }
            int n = Math.min(left, last.writableBytes());
            last.writeBytes(in, n);
            left -= n;
            remainingBytes -= n;
        }
        length += bytes;
    }

    /** Bytes received so far. */
    public int length() {
        return length;
    }

    /** The whole value, which the caller has to release. */
    public ByteBuf assemble() {
        if (parts.size() == 1) {
            return parts.poll();
        }
        CompositeByteBuf whole = allocator.compositeBuffer(Math.max(2, parts.size()));
        for (ByteBuf part; (part = parts.poll()) != null; ) {
            whole.addComponent(true, part);
        }
        return whole;
    }

    /** Releases what has been received. */
    public void release() {
        for (ByteBuf part; (part = parts.poll()) != null; ) {
            part.release();
        }
    }
}
