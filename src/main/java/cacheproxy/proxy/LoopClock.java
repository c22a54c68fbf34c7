package cacheproxy.proxy;

import cacheproxy.metrics.LoopStall;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Estimates when the input that the event loop is reading arrived, from the times at which the loop polled its sockets.
 * Input found by a poll that had to wait has just arrived; input found without a wait may, if the loop was busy, have
 * arrived right after the previous poll. Also reports when the loop was blocked for too long, by its own work or as the
 * process was not run. Decorates the {@link IoHandler} of one event loop and is used on that loop only.
 */
public final class LoopClock implements IoHandler {
    /** How much earlier than estimated input may have arrived, in milliseconds. */
    static final int TOLERANCE_MS = 20;

    private static final double NANOS_PER_MILLI = 1e6;
    /** A poll that returns sooner found input that had arrived before the poll. */
    private static final long MIN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    /** An iteration of the loop up to this long does not count as a delay; sent timeouts are shorter by as much. */
    private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(TOLERANCE_MS);
    /** A poll that returns later than its timeout by more than this was itself delayed. */
    private static final long MAX_OVERSLEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Deadlines allow for a process that is blocked up to this long between reading the clock and writing. */
    private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    /** How far the period whose processor time is reported may begin before a stall. */
    private static final long SAMPLE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Null until the event loop has been created. */
    private IoHandler handler;

    private long pollBeganNanos;
    private long pollEndedNanos;
    /** When the poll before the last one ended. */
    private long previousPollEndedNanos;

    /** How long the last poll was allowed to wait. */
    private long maxWaitNanos;
    /** Whether the end of the last poll has been recorded. */
    private boolean pollEnded;

    private long sampledNanos;
    /** Null until the loop runs. */
    private ThreadActivity activity;

    private Consumer<LoopStall> stallListener = stall -> {};

    /** Sets the listener that is told when the loop did not look for input for too long. */
    void onStall(Consumer<LoopStall> listener) {
        stallListener = listener;
    }

    /** How many milliseconds ago the loop last polled its sockets. */
    double sinceLastPollMs() {
        if (handler == null) {
            return 0;
        }
        recordPollEnd();
        return (System.nanoTime() - pollEndedNanos) / NANOS_PER_MILLI;
    }

    /** Decorates the handlers that a factory creates; this clock observes the handler created last. */
    public IoHandlerFactory wrap(IoHandlerFactory factory) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                handler = factory.newHandler(executor);
                pollBeganNanos = System.nanoTime();
                pollEndedNanos = pollBeganNanos;
                previousPollEndedNanos = pollBeganNanos;
                pollEnded = true;
                return LoopClock.this;
            }

            @Override
            public boolean isChangingThreadSupported() {
                return factory.isChangingThreadSupported();
            }
        };
    }

    /** The estimated arrival time of the input that is being read, by {@link System#nanoTime}. */
    long inputReceivedNanos() {
        if (handler == null) {
            return System.nanoTime(); // no event loop is decorated
        }
        recordPollEnd();
        long waitedNanos = pollEndedNanos - pollBeganNanos;
        if (waitedNanos < MIN_WAIT_NANOS) {
            boolean wasBusy = pollBeganNanos - previousPollEndedNanos > TOLERANCE_NANOS;
            return wasBusy ? previousPollEndedNanos : pollEndedNanos;
        }
        return waitedNanos > maxWaitNanos + MAX_OVERSLEEP_NANOS ? pollBeganNanos : pollEndedNanos;
    }

    private void recordPollEnd() {
        if (!pollEnded) {
            pollEnded = true;
            previousPollEndedNanos = pollEndedNanos;
            pollEndedNanos = System.nanoTime();
            reportStall(pollEndedNanos - pollBeganNanos - maxWaitNanos, true);
            sampleActivity();
        }
    }

    @Override
    public int run(IoHandlerContext context) {
        pollBeganNanos = System.nanoTime();
        reportStall(pollBeganNanos - pollEndedNanos, false);
        maxWaitNanos = context.canBlock() ? Math.max(0, context.delayNanos(pollBeganNanos)) : 0;
        pollEnded = false;
        try {
            return handler.run(context);
        } finally {
            recordPollEnd();
        }
    }

    /** Reports that the loop did not look for input for this time, if that was too long. */
    private void reportStall(long nanos, boolean polling) {
        if (nanos > STALL_NANOS) {
            stallListener.accept(activity.describe(nanos / NANOS_PER_MILLI, polling));
        }
    }

    /** Starts a new period of {@link #activity} if the last one is old. */
    private void sampleActivity() {
        if (pollEndedNanos - sampledNanos > SAMPLE_INTERVAL_NANOS) {
            sampledNanos = pollEndedNanos;
            activity.sample();
        }
    }

    @Override
    public void initialize() {
        activity = new ThreadActivity();
        // What came before, as the warm-up of the process, is no stall: the loop did not run yet.
        pollEndedNanos = System.nanoTime();
        previousPollEndedNanos = pollEndedNanos;
        sampledNanos = pollEndedNanos;
        handler.initialize();
    }

    @Override
    public void prepareToDestroy() {
        handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return handler.register(handle);
    }

    @Override
    public void wakeup() {
        handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return handler.isCompatible(handleType);
    }
}
