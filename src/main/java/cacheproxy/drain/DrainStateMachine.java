package cacheproxy.drain;

/**
 * Controls how one instance drains: from serving to draining, then to drained, or to expired at the deadline;
 * cancelling returns to serving. Pure: its inputs are the time and the open work, its outputs the actions to perform.
 * Times are milliseconds of one monotonic clock. Not thread-safe: all calls come from the event loop.
 */
public final class DrainStateMachine {
    /** The state of the instance. */
    public enum Phase {
        /** Full service. */
        SERVING("serving"),
        /** Idle connections are being closed; requests are still accepted and answered. */
        DRAINING("draining"),
        /** Nothing is open; the process exits. */
        DRAINED("drained"),
        /** The deadline passed first: every open request gets its final response, and the process exits. */
        EXPIRED("expired");

        private final String statusName;

        Phase(String statusName) {
            this.statusName = statusName;
        }

        /** The name in the operators' status output. */
        public String statusName() {
            return statusName;
        }
    }

    /**
     * The open work of the instance.
     *
     * @param unanswered requests without a final response
     * @param connections all client connections
     * @param idleConnections the client connections that are between requests and can be closed now
     * @param answered requests answered since the process started
     */
    public record OpenWork(int unanswered, int connections, int idleConnections, long answered) {}

    /**
     * The actions that the caller has to perform now.
     *
     * @param closeIdle the number of idle connections to close
     * @param listen whether to accept new connections
     * @param answerAll whether to send every open request its final response
     * @param exit whether to exit once that is done
     */
    public record Actions(int closeIdle, boolean listen, boolean answerAll, boolean exit) {
        static final Actions NONE = new Actions(0, true, false, false);
    }

    /**
     * The progress of a drain.
     *
     * @param phase the state of the instance
     * @param completedFraction the completed fraction of the open connections and requests, 0 to 1; never decreases
     *     within one drain and is 1 only once nothing is open
     * @param unanswered requests without a final response
     * @param connections all client connections
     * @param remainingMs estimated time to the end; at most {@code deadlineRemainingMs}
     * @param deadlineRemainingMs time to the deadline; 0 while serving and after the end
     * @param drainCount drains since the process started
     * @param cancelCount cancelled drains since the process started
     */
    public record Progress(
            Phase phase,
            double completedFraction,
            int unanswered,
            int connections,
            double remainingMs,
            double deadlineRemainingMs,
            int drainCount,
            int cancelCount) {}

    /**
     * The result of a request to drain.
     *
     * @param alreadyDraining whether a drain was already in progress; the earlier deadline applies
     * @param deadlineRemainingMs time to the deadline that applies now; 0 once the process exits
     * @param message one line for the operator
     */
    public record StartResult(boolean alreadyDraining, double deadlineRemainingMs, String message) {}

    private static final double MAX_FRACTION_WHILE_OPEN = 0.999;

    private DrainPlan plan;
    private Phase phase = Phase.SERVING;
    private double startedMs;
    private double deadlineMs;
    private double lastTickMs;
    private double quietSinceMs;
    private long answeredWhenQuiet;
    private double closeCredit;
    private double completedFraction;
    private int peakOpen;
    private OpenWork openWork = new OpenWork(0, 0, 0, 0);
    private int drainCount;
    private int cancelCount;

    /** Whether a drain has started and has not been cancelled. */
    public boolean draining() {
        return phase != Phase.SERVING;
    }

    /** Whether clients that query the status ({@code mn}) are informed of the drain. */
    public boolean announced() {
        return draining() && !plan.unannounced();
    }

    /**
     * Whether a connection in use is closed after its last outstanding response. This applies only after the period in
     * which idle connections are closed; earlier, all connections in use would close at their next response, at about
     * the same time.
     */
    public boolean closesAfterAnswer(double now) {
        return draining() && now - startedMs >= plan.idleGraceMs() + plan.idleClosePeriodMs();
    }

    /**
     * Starts a drain or joins the one in progress. The earlier deadline applies, and an irrevocable plan replaces a
     * cancellable one.
     */
    public StartResult startDrain(double now, DrainPlan requested) {
        if (!draining()) {
            drainCount++;
            start(now, requested);
            completedFraction = 0;
            peakOpen = openWork.connections() + openWork.unanswered();
            return new StartResult(false, requested.timeoutMs(), "draining");
        }
        double remainingMs = deadlineMs - now;
        if (phase != Phase.DRAINING) {
            return new StartResult(true, 0, "the drain is over; the process ends");
        }
        boolean shorter = requested.timeoutMs() < remainingMs;
        if (requested.irrevocable() && !plan.irrevocable()) {
            start(now, requested.withDeadlineAtMost(remainingMs));
        } else if (shorter) {
            deadlineMs = now + requested.timeoutMs();
        }
        return new StartResult(
                true,
                deadlineMs - now,
                "a drain was under way already; "
                        + (shorter
                                ? "its deadline is shortened to this one"
                                : "its own deadline is the shorter and holds"));
    }

    private void start(double now, DrainPlan next) {
        plan = next;
        phase = Phase.DRAINING;
        startedMs = now;
        lastTickMs = now;
        quietSinceMs = now;
        answeredWhenQuiet = openWork.answered();
        deadlineMs = now + next.timeoutMs();
        closeCredit = 0;
    }

    /** Cancels the drain; returns null on success, otherwise the reason why it cannot be cancelled. */
    public String cancel() {
        if (phase == Phase.SERVING) {
            return "no drain is under way";
        }
        if (phase != Phase.DRAINING) {
            return "too late: the process ends";
        }
        if (plan.irrevocable()) {
            return "the process has been told to end; that can't be taken back";
        }
        phase = Phase.SERVING;
        cancelCount++;
        return null;
    }

    /** Advances to this time with the current open work; must be called every few tens of milliseconds. */
    public Actions tick(double now, OpenWork open) {
        openWork = open;
        if (phase == Phase.SERVING) {
            return Actions.NONE;
        }
        if (phase != Phase.DRAINING) {
            return new Actions(0, false, phase == Phase.EXPIRED, true);
        }
        double elapsedMs = now - startedMs;
        boolean listen = elapsedMs < plan.listenMs();
        boolean empty = open.unanswered() == 0 && open.connections() == 0;
        // Only requests restart the quiet period: the front layer's health checks keep opening connections.
        if (open.unanswered() > 0 || open.answered() != answeredWhenQuiet) {
            quietSinceMs = now;
            answeredWhenQuiet = open.answered();
        }
        int closeIdle = idleToClose(now, elapsedMs, open.idleConnections());
        lastTickMs = now;
        if (now >= deadlineMs) {
            phase = empty ? Phase.DRAINED : Phase.EXPIRED;
            return new Actions(0, false, !empty, true);
        }
        boolean mayEnd = !listen || plan.listenMs() == Double.POSITIVE_INFINITY;
        if (empty && mayEnd && now - quietSinceMs >= plan.quietPeriodMs()) {
            phase = Phase.DRAINED;
            completedFraction = 1;
            return new Actions(0, false, false, true);
        }
        completedFraction = Math.max(completedFraction, completed());
        return new Actions(closeIdle, listen, false, false);
    }

    /** Spreads the closes evenly: closes the fraction of idle connections that the tick is of the remaining period. */
    private int idleToClose(double now, double elapsedMs, int idle) {
        double remainingMs = plan.idleGraceMs() + plan.idleClosePeriodMs() - elapsedMs;
        if (elapsedMs < plan.idleGraceMs()) {
            return 0;
        }
        if (remainingMs <= 0) {
            return idle;
        }
        double tickMs = Math.min(now - lastTickMs, elapsedMs - plan.idleGraceMs());
        closeCredit += idle * Math.min(1, tickMs / (remainingMs + tickMs));
        int count = (int) Math.min(idle, closeCredit);
        closeCredit -= count;
        return count;
    }

    /**
     * The fraction of the peak of open work that is closed. Requests that came and were answered during the drain do
     * not count as progress.
     */
    private double completed() {
        int stillOpen = openWork.connections() + openWork.unanswered();
        peakOpen = Math.max(peakOpen, stillOpen);
        return peakOpen == 0 ? 0 : Math.min(MAX_FRACTION_WHILE_OPEN, 1 - (double) stillOpen / peakOpen);
    }

    /** Returns the progress at this time. */
    public Progress progress(double now) {
        if (phase == Phase.SERVING) {
            return new Progress(phase, 0, openWork.unanswered(), openWork.connections(), 0, 0, drainCount, cancelCount);
        }
        double deadlineRemainingMs = Math.max(0, deadlineMs - now);
        double elapsedMs = Math.max(1, now - startedMs);
        double estimateMs =
                completedFraction <= 0 ? deadlineRemainingMs : elapsedMs * (1 - completedFraction) / completedFraction;
        double remainingMs =
                phase == Phase.DRAINING ? Math.min(deadlineRemainingMs, estimateMs + plan.quietPeriodMs()) : 0;
        return new Progress(
                phase,
                phase == Phase.DRAINED ? 1 : completedFraction,
                openWork.unanswered(),
                openWork.connections(),
                remainingMs,
                phase == Phase.DRAINING ? deadlineRemainingMs : 0,
                drainCount,
                cancelCount);
    }
}
