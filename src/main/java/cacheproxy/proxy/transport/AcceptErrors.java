package cacheproxy.proxy.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Goes on accepting after accept has failed. A client that gave up in the line (ECONNABORTED) or the network's errors
 * concern one connection; a lack of descriptors or buffers passes. Netty's own answer is to accept nothing for a
 * second, as long as many requests may take at all.
 */
public final class AcceptErrors extends ChannelInboundHandlerAdapter {
    /** Short against any deadline, and long enough that a lasting lack does not take the processor. */
    private static final long AGAIN_MS = 20;

    private final Runnable again;
    private final Consumer<Throwable> failed;
    private boolean waiting;

    /**
     * For the pipeline of a listening channel.
     *
     * @param again has it read again, if connections are still to be accepted
     * @param failed is told of each error
     */
    public AcceptErrors(Runnable again, Consumer<Throwable> failed) {
        this.again = again;
        this.failed = failed;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failed.accept(cause);
        context.channel().config().setAutoRead(false);
        if (!waiting) {
            waiting = true;
            context.executor()
                    .schedule(
                            () -> {
                                waiting = false;
                                again.run();
                            },
                            AGAIN_MS,
                            TimeUnit.MILLISECONDS);
        }
    }
}
