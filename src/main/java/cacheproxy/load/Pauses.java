package cacheproxy.load;

import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Measures the generator's own pauses (garbage collection, a busy machine) as jHiccup does: a thread that sleeps for 1
 * ms at a time records how late it wakes. Latency that is seen here is not caused by the target.
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

    /** Stops the thread and returns its wake-up delays in microseconds. */
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
