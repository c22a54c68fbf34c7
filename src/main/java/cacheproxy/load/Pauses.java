package cacheproxy.load;

import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * The generator's own pauses (garbage collection, a machine that is busy): a thread that means to wake each millisecond
 * records how late it was, as jHiccup does. What stands here is not the target's.
 */
final class Pauses implements AutoCloseable {
    private static final long STEP_NANOS = 1_000_000;

    private final Histogram late = new Histogram(3_600_000_000L, 2);
    private final Thread thread = new Thread(this::run, "own-pauses");
    private volatile boolean ended;

    Pauses() {
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        while (!ended) {
            long before = System.nanoTime();
            LockSupport.parkNanos(STEP_NANOS);
            late.recordValue(Math.max(0, (System.nanoTime() - before - STEP_NANOS) / 1000));
        }
    }

    /** Ends the thread and gives how late it was, in microseconds. */
    Histogram histogram() {
        close();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return late;
    }

    @Override
    public void close() {
        ended = true;
    }
}
