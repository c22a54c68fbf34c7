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
 * Tells how long ago input that the event loop reads now may have come, by when the loop last looked for any. What is
 * read after a wait in which nothing came has just come; what is there without a wait, as the loop was held up, may
 * have come as soon as it had looked before. Wraps the handler of one loop, and is used on it alone.
 */
public final class LoopClock implements IoHandler {
    /** By how much input may have come earlier than it is taken to have. */
    static final int TOLERATED_MS = 20;

    /** A wait that ends sooner found input that had come before it. */
    private static final long WAITED_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    /** A round of the loop that takes no longer has not held it up; what servers are told leaves as much out. */
    private static final long TOLERATED_NANOS = TimeUnit.MILLISECONDS.toNanos(TOLERATED_MS);
    /** A wait that ends later than it should by more than this has been held up itself. */
    private static final long OVERSLEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Deadlines allow for a process that is held up for so long between reading its clock and writing. */
    private static final long HELD_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Null until the loop has been made. */
    private IoHandler handler;

    private long enteredNanos;
    /** When the last wait but one ended, and the last. */
    private long returnedBeforeNanos;

    private long returnedNanos;
    private long mayWaitNanos;
    private boolean returned;
    private DoubleConsumer onStall = ms -> {};

    /** This is told for how many milliseconds the loop did not look for input, where that is too long. */
    void onStall(DoubleConsumer listener) {
        onStall = listener;
    }

    /** For how many milliseconds the loop has not looked for input. */
    double sinceLastPollMs() {
        if (handler == null) {
            return 0;
        }
        waitEnded();
        return (System.nanoTime() - returnedNanos) / 1e6;
    }

    /** Handlers of this kind, the last of them with this clock. */
    public IoHandlerFactory wrap(IoHandlerFactory factory) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                handler = factory.newHandler(executor);
                enteredNanos = System.nanoTime();
                returnedNanos = enteredNanos;
                returnedBeforeNanos = enteredNanos;
                returned = true;
                return LoopClock.this;
            }

            @Override
            public boolean isChangingThreadSupported() {
                return factory.isChangingThreadSupported();
            }
        };
    }

    /** The earliest time, by {@link System#nanoTime}, at which input that is being read now may have come. */
    long inputReceivedNanos() {
        if (handler == null) {
            return System.nanoTime(); // it wraps no loop
        }
        waitEnded();
        long waited = returnedNanos - enteredNanos;
        if (waited < WAITED_NANOS) {
            return enteredNanos - returnedBeforeNanos > TOLERATED_NANOS ? returnedBeforeNanos : returnedNanos;
        }
        return waited > mayWaitNanos + OVERSLEPT_NANOS ? enteredNanos : returnedNanos;
    }

    private void waitEnded() {
        if (!returned) {
            returned = true;
            returnedBeforeNanos = returnedNanos;
            returnedNanos = System.nanoTime();
        }
    }

    @Override
    public int run(IoHandlerContext context) {
        enteredNanos = System.nanoTime();
        if (enteredNanos - returnedNanos > HELD_UP_NANOS) {
            onStall.accept((enteredNanos - returnedNanos) / 1e6);
        }
        mayWaitNanos = context.canBlock() ? Math.max(0, context.delayNanos(enteredNanos)) : 0;
        returned = false;
        try {
            return handler.run(context);
        } finally {
            waitEnded();
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
