package cacheproxy;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits for a condition; a test that waits in vain fails with what it waited for, and does not hang. */
public final class Await {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(40);

    /** What is waited for; what it throws counts as not yet. */
    public interface Condition {
        /** Whether it has come to pass. */
        boolean met() throws Exception;
    }

    private Await() {}

    /** Returns when the condition is met. */
    public static void until(String what, Condition condition) {
        long end = System.nanoTime() + LIMIT_NANOS;
        Exception last = null;
        while (System.nanoTime() < end) {
            try {
                if (condition.met()) {
                    return;
                }
            } catch (Exception e) {
                last = e;
            }
            LockSupport.parkNanos(1_000_000);
        }
        throw new AssertionError("waited in vain: " + what, last);
    }
}
