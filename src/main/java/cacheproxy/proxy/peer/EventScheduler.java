package cacheproxy.proxy.peer;

/** The clock and the timers of the event loop. */
public interface EventScheduler {
    /** The monotonic time, in milliseconds. */
    double nowMs();

    /** Runs a task on the event loop after a delay in milliseconds, 0 or more. */
    void schedule(double delayMs, Runnable task);
}
