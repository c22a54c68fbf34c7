package cacheproxy.proxy.client;

import cacheproxy.flow.ByteBudget;
import cacheproxy.proxy.protocol.ValueBuffer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.List;

/**
 * A long value that is collected before any of it is written to its client, because other requests of the client wait
 * behind it: if the value broke off half written, the connection would have to be closed, and they would get no
 * response. Its memory counts against the value budget. Event loop only.
 */
final class HeldValue {
    private final ValueBuffer buffer;
    /** Null if the budget can never grant it. */
    private final ByteBudget.Reservation reservation;

    /** {@code onGranted}: runs if memory for the {@code length} bytes is granted later. */
    HeldValue(ByteBufAllocator allocator, ByteBudget budget, int length, Runnable onGranted) {
        buffer = new ValueBuffer(allocator, length);
        reservation = budget.reserve(length, onGranted);
    }

    /** Whether there will never be memory for it. */
    boolean isRejected() {
        return reservation == null;
    }

    /** Whether there is memory for it, so that it may be read. */
    boolean isGranted() {
        return reservation != null && reservation.granted();
    }

    /** Takes the next part and releases it. */
    void add(ByteBuf part) {
        buffer.add(part, part.readableBytes());
        part.release();
    }

    /** The value so far, in parts that the caller has to release and that count against the budget until then. */
    List<ByteBuf> takeParts() {
        if (isGranted()) {
            buffer.setReservation(reservation);
        } else if (reservation != null) {
            reservation.release(); // all of the value had been read already
        }
        return buffer.takeParts();
    }

    /** Releases the value and its memory. */
    void release() {
        buffer.release();
        if (reservation != null) {
            reservation.release();
        }
    }
}
