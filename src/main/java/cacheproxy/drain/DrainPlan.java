package cacheproxy.drain;

/**
 * The schedule of one drain. Times are milliseconds from its start.
 *
 * @param listenMs how long new connections are accepted; infinite: until nothing is open
 * @param idleGraceMs how long idle connections are left open
 * @param idleClosePeriodMs over which period after that they are closed, so that their clients do not all reconnect
 *     elsewhere at once
 * @param quietPeriodMs how long no request may have been open before an instance without connections counts as drained
 * @param deadlineMs when every open request gets its final answer and the process exits; above 0, at most an hour
 * @param unannounced whether clients that ask are still told that the instance serves
 * @param irrevocable whether it can't be cancelled
 */
public record DrainPlan(
        double listenMs,
        double idleGraceMs,
        double idleClosePeriodMs,
        double quietPeriodMs,
        double deadlineMs,
        boolean unannounced,
        boolean irrevocable) {
    private static final double MAX_DEADLINE_MS = 3_600_000;
    /**
     * The platform sends SIGKILL 3.7 s after SIGTERM at the earliest, whatever the classes' deadlines: by then each
     * open request must have its answer. The difference is for these answers to leave the machine.
     */
    static final double MAX_ANSWER_MS = 3500;

    /** Checks the ranges. */
    public DrainPlan {
        if (!(deadlineMs > 0 && deadlineMs <= MAX_DEADLINE_MS)) {
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
    public static DrainPlan requested(double deadlineMs) {
        return new DrainPlan(
                Double.POSITIVE_INFINITY,
                0,
                Math.min(5000, deadlineMs / 5),
                Math.min(1000, deadlineMs / 10),
                deadlineMs,
                false,
                false);
    }

    /**
     * The plan after SIGTERM: no connection comes later than {@code listenMs}, and answers that would miss their
     * deadline or come after SIGKILL are not waited for.
     */
    public static DrainPlan onTermination(double listenMs, double longestDeadlineMs) {
        double deadlineMs = Math.min(MAX_ANSWER_MS, listenMs + longestDeadlineMs);
        return new DrainPlan(listenMs, listenMs, 0, 0, deadlineMs, true, true);
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
                Math.min(deadlineMs, Math.max(1, ms)),
                unannounced,
                irrevocable);
    }
}
