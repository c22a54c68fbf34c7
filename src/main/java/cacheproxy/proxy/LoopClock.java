package cacheproxy.proxy;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;

/**
 * Estimates when input that the event loop reads now arrived, from when the loop last polled its sockets. Input read
 * after a poll that had to wait has just arrived; input that is there without a wait, because the loop was busy, may
 * have arrived right after the poll before. Also reports when the loop was blocked for too long. Decorates the
 * {@link IoHandler} of one event loop and is used on that loop only.
 */
public final class LoopClock implements IoHandler {
    /** By how many milliseconds input may have arrived earlier than estimated. */
    static final int TOLERANCE_MS = 20;

    private static final double NANOS_PER_MILLI = 1e6;
    /** A poll that returns sooner found input that had arrived before it. */
    private static final long MIN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    /** A round of the loop that takes no longer has not delayed input; servers are told as much less time. */
    private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(TOLERANCE_MS);
    /** A poll that returns later than it should by more than this was itself delayed. */
    private static final long MAX_OVERSLEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Deadlines allow for a process that is blocked for so long between reading its clock and writing. */
    private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Null until the event loop has been created. */
    private IoHandler handler;

    private long pollBeganNanos;
    private long pollEndedNanos;
    /** When the poll before that ended. */
    private long previousPollEndedNanos;

    /** How long the poll was allowed to wait. */
    private long maxWaitNanos;
    /** Whether the end of the poll has been noted. */
    private boolean pollEnded;

    private DoubleConsumer stallListener = ms -> {};

    /** Sets the listener that is told for how many milliseconds the loop did not poll, where that is too long. */
    void onStall(DoubleConsumer listener) {
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

    /** Decorates the handlers of a factory; the clock is that of the handler made last. */
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

    /** The earliest time, by {@link System#nanoTime}, at which input that is being read now may have arrived. */
    long inputReceivedNanos() {
        if (handler == null) {
            return System.nanoTime(); // decorates no loop
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
        }
    }

    @Override
    public int run(IoHandlerContext context) {
        pollBeganNanos = System.nanoTime();
        if (pollBeganNanos - pollEndedNanos > STALL_NANOS) {
            stallListener.accept((pollBeganNanos - pollEndedNanos) / NANOS_PER_MILLI);
        }
        maxWaitNanos = context.canBlock() ? Math.max(0, context.delayNanos(pollBeganNanos)) : 0;
        pollEnded = false;
        try {
            return handler.run(context);
        } finally {
            recordPollEnd();
        }
    }

    @Override
    public void initialize() {
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
