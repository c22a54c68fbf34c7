package cacheproxy.proxy;

import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import java.util.ArrayDeque;

/**
 * Runs calls of the load balancer one at a time, in the order of their submission. A call that is submitted while
 * another runs waits for it to return, so calls of the load balancer are never nested. An exception from a call is
 * logged and does not prevent later calls. Event loop only.
 */
final class SerialExecutor {
    private final EventLog log;
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    private boolean running;
    private boolean stopped;
    private long failures;

    SerialExecutor(EventLog log) {
        this.log = log;
    }

    /** Runs the call now, or after the running call and those in the queue. No effect after {@link #stop}. */
    void runSerially(Runnable call) {
        if (stopped) {
            return;
        }
        if (running) {
            queue.add(call);
            return;
        }
        running = true;
        try {
            for (Runnable next = call; next != null; next = queue.poll()) {
                runGuarded(next, () -> {});
            }
        } finally {
            running = false;
        }
    }

    /** As above; {@code onFailure} runs right after the call if it throws. */
    void runSerially(Runnable call, Runnable onFailure) {
        runSerially(() -> runGuarded(call, onFailure));
    }

    private void runGuarded(Runnable call, Runnable onFailure) {
        try {
            call.run();
        } catch (RuntimeException e) {
            recordFailure(e);
            onFailure.run();
        }
    }

    private void recordFailure(RuntimeException e) {
        failures++;
        StackTraceElement[] trace = e.getStackTrace();
        LogMessage message = LogMessage.of("the load balancer failed").with("cause", e);
        log.log(EventKind.INTERNAL_ERROR, trace.length > 0 ? message.with("at", trace[0]) : message);
    }

    /** The number of calls that have thrown an exception. */
    long failures() {
        return failures;
    }

    /** Ignores all calls submitted from now on. */
    void stop() {
        stopped = true;
    }
}
