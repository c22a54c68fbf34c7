package cacheproxy.drain;

/**
 * The schedule of one drain. Times are milliseconds from its start.
 *
 * @param listenMs how long new connections are accepted; infinite: until nothing is open
 * @param idleGraceMs how long idle connections are left open
 * @param idleClosePeriodMs over which period after that they are closed, so that their clients do not all reconnect
 *     elsewhere at once
 * @param quietPeriodMs how long no request may have been open before an instance without connections counts as drained
 * @param timeoutMs when every open request gets its final answer and the process exits; above 0, at most an hour
 * @param unannounced whether clients that ask are still told that the instance serves
 * @param irrevocable whether it can't be cancelled
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
     * The platform sends SIGKILL 3.7 s after SIGTERM at the earliest, whatever the classes' deadlines: by then each
     * open request must have its answer. The difference is for these answers to leave the machine.
     */
    static final double MAX_ANSWER_MS = 3500;

    /**
     * An operator's drain closes idle connections over this part of its time, as its inverse, and no longer than this.
     */
    private static final int IDLE_CLOSE_DIVISOR = 5;

    private static final double MAX_IDLE_CLOSE_PERIOD_MS = 5000;
    /** It has ended once nothing was open for this part of its time, as its inverse, and no longer than this. */
    private static final int QUIET_DIVISOR = 10;

    private static final double MAX_QUIET_PERIOD_MS = 1000;

    /** Checks the ranges. */
    public DrainPlan {
        if (!(timeoutMs > 0 && timeoutMs <= MAX_DEADLINE_MS)) {
            throw new IllegalArgumentException("a drain's deadline lies above 0 s and an hour away at most");
        }
        if (!(listenMs >= 0) || !(idleGraceMs >= 0) || !(idleClosePeriodMs >= 0) || !(quietPeriodMs >= 0)) {
            throw new IllegalArgumentException("times of a drain are 0 or longer");
        }
    }

    /**
     * The plan of a drain that an operator requests: it goes on listening, as load balancers notice late, closes idle
     * connections over the first fifth of the time, five seconds at most, and can be cancelled.
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
     * The plan after SIGTERM: no connection comes later than {@code listenMs}, and answers that would miss their
     * deadline or come after SIGKILL are not waited for.
     */
    public static DrainPlan onTermination(double listenMs, double longestDeadlineMs) {
        double timeoutMs = Math.min(MAX_ANSWER_MS, listenMs + longestDeadlineMs);
        return new DrainPlan(listenMs, listenMs, 0, 0, timeoutMs, true, true);
    }

    /**
     * The plan after SIGTERM where a successor serves at the same socket: new connections are the successor's at once,
     * open ones are passed to it as each falls idle.
     */
    public static DrainPlan onTerminationWithSuccessor(double longestDeadlineMs) {
        return new DrainPlan(0, 0, 0, 0, Math.min(MAX_ANSWER_MS, longestDeadlineMs), true, true);
    }

    /** This plan, with its deadline brought forward to this many milliseconds at the latest. */
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
