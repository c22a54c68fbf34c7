package cacheproxy.proxy.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.UncheckedBooleanSupplier;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * The reads of one connection: by what arrives, up to a limit, and one after another only as long as the connection may
 * work in this turn of the event loop. Event loop only.
 */
public final class TurnLimitedReads implements RecvByteBufAllocator {
    private final RecvByteBufAllocator sizes;
    private final BooleanSupplier mayWork;
    private final IntSupplier limitBytes;

    /**
     * Creates the reads of a connection.
     *
     * @param sizes chooses the size of each read by what has arrived; may be shared
     * @param mayWork whether the connection may go on in this turn
     * @param limitBytes the most that the next read may bring, in bytes
     */
    public TurnLimitedReads(RecvByteBufAllocator sizes, BooleanSupplier mayWork, IntSupplier limitBytes) {
        this.sizes = sizes;
        this.mayWork = mayWork;
        this.limitBytes = limitBytes;
    }

    @Override
    public ExtendedHandle newHandle() {
        return new LimitedHandle((ExtendedHandle) sizes.newHandle());
    }

    /** Delegates all but the size of the next read and the decision on a further one. */
    private final class LimitedHandle extends RecvByteBufAllocator.DelegatingHandle implements ExtendedHandle {
        LimitedHandle(ExtendedHandle delegate) {
            super(delegate);
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }

        @Override
        public int guess() {
            return Math.min(limitBytes.getAsInt(), delegate().guess());
        }

        @Override
        public boolean continueReading() {
            return mayWork.getAsBoolean() && delegate().continueReading();
        }

        @Override
        public void reset(ChannelConfig config) {
            delegate().reset(config);
        }

        @Override
        public boolean continueReading(UncheckedBooleanSupplier maybeMoreData) {
            return mayWork.getAsBoolean() && ((ExtendedHandle) delegate()).continueReading(maybeMoreData);
        }
    }
}
