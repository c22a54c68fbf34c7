package cacheproxy.drain;

/**
 * The schedule of one drain. Times are in milliseconds.
 *
 * @param listenMs how long new connections are accepted; if infinite, until nothing is open
 * @param idleGraceMs how long idle connections are left open
 * @param idleClosePeriodMs the period after {@code idleGraceMs} over which idle connections are closed, so that their
 *     clients do not all reconnect elsewhere at once
 * @param quietPeriodMs the minimum time without requests after which an instance with nothing open counts as drained
 * @param timeoutMs the time until all open requests get their final response and the process exits; above 0, at most an
 *     hour
 * @param unannounced whether clients that query the status ({@code mn}) are still told that the instance is serving
 * @param irrevocable whether the drain cannot be cancelled
 */
public record DrainPlan(
        double listenMs,
        double idleGraceMs,
        double idleClosePeriodMs,
        double quietPeriodMs,
        double timeoutMs,
        boolean unannounced,
        boolean irrevocable) {
    private static final double MAX_DEADLINE_MS = 3_600_000;
    /**
     * The platform sends SIGKILL no earlier than 3.7 s after SIGTERM, independently of the classes' deadlines. By then
     * each open request must have its response; the margin is for the responses to leave the machine.
     */
    static final double MAX_ANSWER_MS = 3500;

    /**
     * How long a value may go on beyond the longest deadline: until shortly before SIGKILL, which comes 0.7 s after it.
     */
    private static final double VALUE_GRACE_MS = 500;

    /**
     * The inverse of the fraction of an operator's drain over which idle connections are closed, limited by
     * {@link #MAX_IDLE_CLOSE_PERIOD_MS}.
     */
    private static final int IDLE_CLOSE_DIVISOR = 5;

    private static final double MAX_IDLE_CLOSE_PERIOD_MS = 5000;
    /**
     * The inverse of the fraction of an operator's drain that must pass without requests before it completes, limited
     * by {@link #MAX_QUIET_PERIOD_MS}.
     */
    private static final int QUIET_DIVISOR = 10;

    private static final double MAX_QUIET_PERIOD_MS = 1000;

    /** Checks the ranges. */
    public DrainPlan {
        if (!(timeoutMs > 0 && timeoutMs <= MAX_DEADLINE_MS)) {
            throw new IllegalArgumentException("a drain's deadline lies above 0 s and an hour away at most");
        }
        if (!(listenMs >= 0) || !(idleGraceMs >= 0) || !(idleClosePeriodMs >= 0) || !(quietPeriodMs >= 0)) {
            throw new IllegalArgumentException("drain times must not be negative");
        }
    }

    /**
     * Returns the plan of a drain requested by an operator. It can be cancelled. The instance keeps listening, because
     * load balancers notice a drain late, and closes idle connections over the first fifth of the time, 5 s at most.
     */
    public static DrainPlan requested(double timeoutMs) {
        return new DrainPlan(
                Double.POSITIVE_INFINITY,
                0,
                Math.min(MAX_IDLE_CLOSE_PERIOD_MS, timeoutMs / IDLE_CLOSE_DIVISOR),
                Math.min(MAX_QUIET_PERIOD_MS, timeoutMs / QUIET_DIVISOR),
                timeoutMs,
                false,
                false);
    }

    /**
     * Returns the plan after SIGTERM. No connections are accepted after {@code listenMs}, and responses that would miss
     * their deadline or come after SIGKILL are not awaited.
     */
    public static DrainPlan onTermination(double listenMs, double longestDeadlineMs) {
        double timeoutMs = Math.min(MAX_ANSWER_MS, listenMs + longestDeadlineMs);
        return new DrainPlan(listenMs, listenMs, 0, 0, timeoutMs, true, true);
    }

    /**
     * Returns the plan after SIGTERM if a successor serves at the same socket. New connections go to the successor
     * immediately, and each open connection is passed to it when it becomes idle. A value that has begun is passed on
     * until shortly before SIGKILL.
     */
    public static DrainPlan onTerminationWithSuccessor(double longestDeadlineMs) {
        double timeoutMs = Math.min(MAX_ANSWER_MS, longestDeadlineMs + VALUE_GRACE_MS);
        return new DrainPlan(0, 0, 0, 0, timeoutMs, true, true);
    }

    /** Returns this plan with its timeout limited to {@code ms}, but at least 1 ms. */
    DrainPlan withDeadlineAtMost(double ms) {
        return new DrainPlan(
                listenMs,
                idleGraceMs,
                idleClosePeriodMs,
                quietPeriodMs,
                Math.min(timeoutMs, Math.max(1, ms)),
                unannounced,
                irrevocable);
    }
}
