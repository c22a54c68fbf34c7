package cacheproxy.proxy.protocol;

import cacheproxy.flow.ByteBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;

/**
 * A buffer that counts against a budget until its last reference is released, wherever it is by then: with a request,
 * in a queue of responses or in a channel that its peer does not read. Event loop only.
 */
final class ReservedBuffer extends CompositeByteBuf {
    private final transient ByteBudget.Reservation reservation;
    private final int reservedBytes;

    /** Takes over the buffer, whose capacity is returned to the reservation in the end. */
    ReservedBuffer(ByteBuf buffer, ByteBudget.Reservation reservation) {
        super(buffer.alloc(), buffer.isDirect(), 1);
        this.reservation = reservation;
        reservedBytes = buffer.capacity();
        addComponent(true, buffer);
    }

    @Override
    protected void deallocate() {
        super.deallocate();
        reservation.release(reservedBytes);
    }
}
