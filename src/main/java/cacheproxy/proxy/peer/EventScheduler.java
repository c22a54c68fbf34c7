package cacheproxy.proxy.peer;

/** The clock and the timers of the event loop, for what runs on it. */
public interface EventScheduler {
    /** The monotonic time by which every span is measured, in milliseconds. */
    double nowMs();

    /** Runs a task on the event loop after a delay in milliseconds, 0 or more. */
    void schedule(double delayMs, Runnable task);
}
