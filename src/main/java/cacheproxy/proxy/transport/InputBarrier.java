package cacheproxy.proxy.transport;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Orders tasks of an event loop behind its input. One poll may find several events that had all happened before it, in
 * no particular order: a request and the end of its client's connection, a connection that has opened, news of a
 * server. What can't be undone waits until all of them have been processed.
 */
public final class InputBarrier {
    private InputBarrier() {}

    /**
     * Runs the task on the event loop once a round of input has been processed completely: the round in progress if the
     * caller is processing input, otherwise the next one. To be called on the event loop.
     */
    public static void afterInput(ScheduledExecutorService loop, Runnable task) {
        // A scheduled task that is due runs behind the input of the round in which it was set, or of the next round.
        loop.schedule(task, 0, TimeUnit.NANOSECONDS);
    }

    /**
     * As {@link #afterInput}, after a delay: input that arrived while the process was not running is processed before
     * the task.
     */
    public static void afterDelayAndInput(ScheduledExecutorService loop, Runnable task, long delay, TimeUnit unit) {
        loop.schedule(() -> afterInput(loop, task), delay, unit);
    }
}
