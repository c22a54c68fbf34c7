package cacheproxy.drain;

/**
 * How a drain goes. Times in milliseconds.
 *
 * @param listenMs new connections are taken for so long; infinite: until nothing is left
 * @param holdIdleMs idle connections are left alone for so long
 * @param paceMs over which time after that they are ended, so that their clients do not all go elsewhere at once
 * @param quietMs for how long no request may have been open before an instance without connections is drained
 * @param deadlineMs when all that is left is answered at once and the process ends
 * @param hidden whether clients that ask are still told that it serves
 * @param last whether it can't be taken back
 */
public record DrainPlan(
        double listenMs,
        double holdIdleMs,
        double paceMs,
        double quietMs,
        double deadlineMs,
        boolean hidden,
        boolean last) {
    private static final double LONGEST_MS = 3_600_000;
    /**
     * The platform kills a process 3.7 s after SIGTERM at the earliest, however long its classes wait: by then each
     * open request must have had its answer. The rest is for these to leave the machine.
     */
    static final double ANSWERED_BY_MS = 3500;

    /** Checks the ranges. */
    public DrainPlan {
        if (!(deadlineMs > 0 && deadlineMs <= LONGEST_MS)) {
            throw new IllegalArgumentException("a drain's deadline lies above 0 s and an hour away at most");
        }
        if (!(listenMs >= 0) || !(holdIdleMs >= 0) || !(paceMs >= 0) || !(quietMs >= 0)) {
            throw new IllegalArgumentException("times of a drain are 0 or longer");
        }
    }

    /**
     * A drain that an operator asks for: goes on listening, as whoever deals connections out notices late, ends idle
     * connections over the first fifth of the time, five seconds at most, and can be taken back.
     */
    public static DrainPlan asked(double deadlineMs) {
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
     * What SIGTERM begins on the platform: no connection comes later than this, and answers that could not be in time
     * any more, or would come after the process is killed, are not waited for.
     */
    public static DrainPlan terminated(double listenMs, double longestDeadlineMs) {
        double deadlineMs = Math.min(ANSWERED_BY_MS, listenMs + longestDeadlineMs);
        return new DrainPlan(listenMs, listenMs, 0, 0, deadlineMs, true, true);
    }

    /**
     * What SIGTERM begins where a successor serves at the same socket: connections are the successor's from now on,
     * those here go over to it as each falls idle.
     */
    public static DrainPlan succeeded(double longestDeadlineMs) {
        return new DrainPlan(0, 0, 0, 0, Math.min(ANSWERED_BY_MS, longestDeadlineMs), true, true);
    }

    /** This plan with a deadline of this long at most. */
    DrainPlan within(double ms) {
        return new DrainPlan(
                listenMs, holdIdleMs, paceMs, quietMs, Math.min(deadlineMs, Math.max(1, ms)), hidden, last);
    }
}
