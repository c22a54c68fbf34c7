package cacheproxy;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits for a condition; a test that waits in vain fails with what it waited for, and does not hang. */
public final class Await {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);

    /** What is waited for; what it throws counts as not yet. */
    public interface Condition {
        /** Whether it has come to pass. */
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
        throw new AssertionError("waited in vain: " + description, lastFailure);
    }
}
