package cacheproxy.proxy.upstream;

import cacheproxy.proxy.transport.InputBarrier;

/**
 * Times the quiet period after a response, in which nothing may be sent on a connection whose responses carry no
 * request id. Such responses are assigned to attempts by their order alone, so a duplicate response, which arrives some
 * milliseconds after the original, would be taken for the response to an attempt sent in between. On a quiet connection
 * it is recognized as belonging to no attempt. Event loop only.
 */
final class QuietPeriodTimer {
    private final UpstreamContext context;
    private final Runnable onEnd;

    /** {@code onEnd}: runs at the end of each quiet period, on the event loop. */
    QuietPeriodTimer(UpstreamContext context, Runnable onEnd) {
        this.context = context;
        this.onEnd = onEnd;
    }

    /** Starts a quiet period; the previous one must have ended. */
    void start() {
        context.after(context.quietPeriodMs(), this::endAfterNextPoll);
    }

    /**
     * If the event loop was blocked, a duplicate that arrived within the period is still unread: the period ends only
     * after the sockets have been polled once more.
     */
    private void endAfterNextPoll() {
        InputBarrier.afterInput(context.loop(), onEnd);
    }
}
