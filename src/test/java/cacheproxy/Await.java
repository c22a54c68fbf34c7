package cacheproxy;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits for a condition. After a timeout the test fails with a description of the condition and does not hang. */
public final class Await {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);

    /** A condition to wait for. An exception counts as not met. */
    public interface Condition {
        /** Whether the condition is met. */
        boolean isMet() throws Exception;
    }

    private Await() {}

    /** Returns when the condition is met. */
    public static void until(String description, Condition condition) {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        Exception lastFailure = null;
        while (System.nanoTime() < end) {
            try {
                if (condition.isMet()) {
                    return;
                }
            } catch (Exception e) {
                lastFailure = e;
            }
            LockSupport.parkNanos(1_000_000);
        }
        throw new AssertionError("timed out waiting for: " + description, lastFailure);
    }
}
