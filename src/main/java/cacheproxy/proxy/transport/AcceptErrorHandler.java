package cacheproxy.proxy.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Keeps accepting connections after a failed accept call. A client that disconnected before it was accepted
 * (ECONNABORTED) or a network error concerns one connection only, and a shortage of descriptors or buffers passes.
 * Netty by default stops accepting for a second, which is as long as many requests may take. Event loop only.
 */
public final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {
    /** Short compared with any deadline, and long enough that a persistent shortage does not use up the CPU. */
    private static final long RETRY_DELAY_MS = 20;

    private final Runnable resumeAccepting;
    private final Consumer<Throwable> errorListener;
    private boolean retryScheduled;

    /**
     * Creates the handler of a listening channel.
     *
     * @param resumeAccepting resumes reading, if connections are still to be accepted
     * @param errorListener is given each error
     */
    public AcceptErrorHandler(Runnable resumeAccepting, Consumer<Throwable> errorListener) {
        this.resumeAccepting = resumeAccepting;
        this.errorListener = errorListener;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        errorListener.accept(cause);
        context.channel().config().setAutoRead(false);
        if (!retryScheduled) {
            retryScheduled = true;
            context.executor()
                    .schedule(
                            () -> {
                                retryScheduled = false;
                                resumeAccepting.run();
                            },
                            RETRY_DELAY_MS,
                            TimeUnit.MILLISECONDS);
        }
    }
}
