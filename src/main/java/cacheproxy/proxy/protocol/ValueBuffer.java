package cacheproxy.proxy.protocol;

import cacheproxy.flow.ByteBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects a value while it is received, in parts of equal size. A single growing buffer would exist twice while it
 * grows, and slices of the input would retain whole read buffers for a few bytes each. What is reserved for the value
 * is returned part by part, when each is released.
 */
public final class ValueBuffer {
    private static final int PART_BYTES = 64 << 10;

    private final ByteBufAllocator allocator;
    private final ArrayDeque<ByteBuf> parts = new ArrayDeque<>();
    /** What is reserved for all bytes; null for a value that does not count against a budget. */
    private ByteBudget.Reservation reservation;

    private int remainingBytes;
    private int length;

    /** Creates a buffer for at most {@code length} bytes, which do not count against a budget. */
    public ValueBuffer(ByteBufAllocator allocator, int length) {
        this(allocator, length, null);
    }

    /** Creates a buffer for at most {@code length} bytes; takes over the granted reservation for that many. */
    public ValueBuffer(ByteBufAllocator allocator, int length, ByteBudget.Reservation reservation) {
        this.allocator = allocator;
        this.reservation = reservation;
        remainingBytes = length;
    }

    /** Takes over a granted reservation for as many bytes as the buffer was created for. */
    public void setReservation(ByteBudget.Reservation granted) {
        reservation = granted;
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
        List<ByteBuf> taken = takeParts();
        if (taken.size() == 1) {
            return taken.get(0);
        }
        CompositeByteBuf whole = allocator.compositeBuffer(Math.max(2, taken.size()));
        taken.forEach(part -> whole.addComponent(true, part));
        return whole;
    }

    /** The whole value in parts, each of which the caller has to release. */
    public List<ByteBuf> takeParts() {
        if (reservation != null) {
            reservation.release(remainingBytes - unusedBytesOfLastPart());
        }
        List<ByteBuf> taken = new ArrayList<>(parts.size());
        for (ByteBuf part; (part = parts.poll()) != null; ) {
            taken.add(reservation == null ? part : new ReservedBuffer(part, reservation));
        }
        reservation = null;
        return taken;
    }

    private int unusedBytesOfLastPart() {
        return parts.isEmpty() ? 0 : parts.peekLast().writableBytes();
    }

    /** Releases what has been received, and the reservation. */
    public void release() {
        for (ByteBuf part; (part = parts.poll()) != null; ) {
            part.release();
        }
        if (reservation != null) {
            reservation.release();
            reservation = null;
        }
    }
}
