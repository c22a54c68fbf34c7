package cacheproxy.metrics;

/**
 * A time in which an event loop did not look for input, and what its thread did then. Times are in milliseconds; the
 * thread's times are NaN where the operating system does not report them.
 *
 * @param blockedMs how long the loop did not look for input
 * @param polling whether the loop was waiting for input, and so had nothing to do: its wait ended too late
 * @param cpuMs processor time that its thread used
 * @param runQueueMs how long its thread was ready to run and had no processor
 * @param collected whether there was a garbage collection
 */
public record LoopStall(double blockedMs, boolean polling, double cpuMs, double runQueueMs, boolean collected) {
    /** The share of the time that makes an activity its cause. */
    private static final double MAIN_SHARE = 0.5;

    /** What a thread mainly did. */
    public enum Cause {
        /** It used processor time. */
        BUSY("busy"),
        /** It was ready to run, and other threads had the processors. */
        STARVED("starved"),
        /** It neither ran nor was ready to: the process was stopped, or the thread waited for a file or a lock. */
        NOT_RUN("not_run"),
        /** The operating system does not tell. */
        UNKNOWN("unknown");

        private final String key;

        Cause(String key) {
            this.key = key;
        }

        /** The name in logs. */
        public String key() {
            return key;
        }
    }

    /** What the thread mainly did. */
    public Cause cause() {
        if (Double.isNaN(cpuMs) || Double.isNaN(runQueueMs)) {
            return Cause.UNKNOWN;
        }
        if (cpuMs >= MAIN_SHARE * blockedMs) {
            return Cause.BUSY;
        }
        return runQueueMs >= MAIN_SHARE * blockedMs ? Cause.STARVED : Cause.NOT_RUN;
    }

    /** The log event of this stall. */
    public LogMessage message() {
        return LogMessage.of("event loop blocked")
                .with("ms", Math.round(blockedMs))
                .with("cause", cause().key())
                .with("polling", polling)
                .with("cpu_ms", Math.round(cpuMs))
                .with("run_queue_ms", Math.round(runQueueMs))
                .with("collected", collected);
    }
}
