package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import java.util.ArrayDeque;

/**
 * A value on its way in, kept in parts of even size: one buffer that grows is there twice while it does, and slices of
 * what was read keep whole reads for a few bytes each.
 */
final class ValueBuffer {
    private static final int PART = 64 << 10;

    private final ByteBufAllocator alloc;
    private final ArrayDeque<ByteBuf> parts = new ArrayDeque<>();
    private int missing;
    private int length;

    /** For a value of this many bytes at most. */
    ValueBuffer(ByteBufAllocator alloc, int length) {
        this.alloc = alloc;
        missing = length;
    }

    /** Takes so many bytes off the input, of those that are missing. */
    void add(ByteBuf in, int bytes) {
        for (int left = bytes; left > 0; ) {
            ByteBuf last = parts.peekLast();
            if (last == null || !last.isWritable()) {
                int size = Math.min(missing, PART);
                last = alloc.buffer(size, size);
                parts.add(last);
            }
            int n = Math.min(left, last.writableBytes());
            last.writeBytes(in, n);
            left -= n;
            missing -= n;
        }
        length += bytes;
    }

    /** What has come so far, in bytes. */
    int length() {
        return length;
    }

    /** The whole value, which is the caller's to release from here on. */
    ByteBuf whole() {
        if (parts.size() == 1) {
            return parts.poll();
        }
        CompositeByteBuf whole = alloc.compositeBuffer(Math.max(2, parts.size()));
        for (ByteBuf part; (part = parts.poll()) != null; ) {
            whole.addComponent(true, part);
        }
        return whole;
    }

    void release() {
        for (ByteBuf part; (part = parts.poll()) != null; ) {
            part.release();
        }
    }
}
