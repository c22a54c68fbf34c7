package cacheproxy.drain;

/**
 * The state machine of an instance's end: serving, draining, drained, or past its deadline; a cancel leads back to
 * serving. Times in milliseconds of one clock that never goes back.
 */
public final class Drain {
    /** Where it stands. */
    public enum Phase {
        /** Full service. */
        SERVING("serving"),
        /** Connections are being ended; requests are still taken and answered. */
        DRAINING("draining"),
        /** Nothing was left, and the process ends. */
        DRAINED("drained"),
        /** The deadline came first: what was open has been answered, and the process ends. */
        EXPIRED("expired");

        private final String statusName;

        Phase(String statusName) {
            this.statusName = statusName;
        }

        /** The word for it in operators' status. */
        public String statusName() {
            return statusName;
        }
    }

    /**
     * What is open.
     *
     * @param owed requests that have had no final answer
     * @param connections of clients, all
     * @param idle those between requests, that could be ended now
     * @param answered requests answered since the process began
     */
    public record Counts(int owed, int connections, int idle, long answered) {}

    /**
     * What is to be done now.
     *
     * @param endIdle how many idle connections to end
     * @param listen whether new connections are taken
     * @param answerAll whether all that is owed is to be answered now
     * @param exit whether the process ends when that is done
     */
    public record Orders(int endIdle, boolean listen, boolean answerAll, boolean exit) {
        static final Orders NONE = new Orders(0, true, false, false);
    }

    /**
     * How it goes. {@code share} is what is done of what was to do, connections and requests, 0 to 1; it never falls
     * within one drain, and is 1 only when nothing is left. {@code leftMs} is an estimate, {@code deadlineLeftMs} the
     * bound on it.
     */
    public record Progress(
            Phase phase,
            double share,
            int owed,
            int connections,
            double leftMs,
            double deadlineLeftMs,
            int drains,
            int cancels) {}

    /** What has become of a wish for a drain. {@code already}: one was under way; the shorter deadline holds. */
    public record Begun(boolean already, double deadlineLeftMs, String words) {}

    private static final double NEARLY = 0.999;

    private DrainPlan plan;
    private Phase phase = Phase.SERVING;
    private double beganMs;
    private double deadlineMs;
    private double lastMs;
    private double quietSinceMs;
    private long quietAt;
    private double credit;
    private double share;
    private int most;
    private Counts counts = new Counts(0, 0, 0, 0);
    private int drains;
    private int cancels;

    /** Whether it has begun and has not been taken back. */
    public boolean draining() {
        return phase != Phase.SERVING;
    }

    /** Whether clients that ask are told that it drains. */
    public boolean told() {
        return draining() && !plan.hidden();
    }

    /**
     * Whether a connection is ended after the last answer that it is owed. Only when the pace is over: before that
     * those in use would all end at their next answer, within an instant.
     */
    public boolean ending(double now) {
        return draining() && now - beganMs >= plan.holdIdleMs() + plan.paceMs();
    }

    /** Begins, or joins one that is under way: the shorter deadline holds, and what can't be taken back wins. */
    public Begun begin(double now, DrainPlan wish) {
        if (!draining()) {
            drains++;
            start(now, wish);
            share = 0;
            most = counts.connections() + counts.owed();
            return new Begun(false, wish.deadlineMs(), "draining");
        }
        double left = deadlineMs - now;
        if (phase != Phase.DRAINING) {
            return new Begun(true, 0, "the drain is over; the process ends");
        }
        boolean shorter = wish.deadlineMs() < left;
        if (wish.last() && !plan.last()) {
            start(now, wish.within(left));
        } else if (shorter) {
            deadlineMs = now + wish.deadlineMs();
        }
        return new Begun(
                true,
                deadlineMs - now,
                "a drain was under way already; "
                        + (shorter
                                ? "its deadline is shortened to this one"
                                : "its own deadline is the shorter and holds"));
    }

    private void start(double now, DrainPlan by) {
        plan = by;
        phase = Phase.DRAINING;
        beganMs = now;
        lastMs = now;
        quietSinceMs = now;
        quietAt = counts.answered();
        deadlineMs = now + by.deadlineMs();
        credit = 0;
    }

    /** Takes it back; null if that was done, else why it can't be. */
    public String cancel() {
        if (phase == Phase.SERVING) {
            return "no drain is under way";
        }
        if (phase != Phase.DRAINING) {
            return "too late: the process ends";
        }
        if (plan.last()) {
            return "the process has been told to end; that can't be taken back";
        }
        phase = Phase.SERVING;
        cancels++;
        return null;
    }

    /** Time has passed; to be called often, and with what is open now. */
    public Orders tick(double now, Counts open) {
        counts = open;
        if (phase == Phase.SERVING) {
            return Orders.NONE;
        }
        if (phase != Phase.DRAINING) {
            return new Orders(0, false, phase == Phase.EXPIRED, true);
        }
        double since = now - beganMs;
        boolean listen = since < plan.listenMs();
        boolean empty = open.owed() == 0 && open.connections() == 0;
        // By requests and not by connections: whoever deals these out goes on looking in on us.
        if (open.owed() > 0 || open.answered() != quietAt) {
            quietSinceMs = now;
            quietAt = open.answered();
        }
        int endIdle = endIdle(now, since, open.idle());
        lastMs = now;
        if (now >= deadlineMs) {
            phase = empty ? Phase.DRAINED : Phase.EXPIRED;
            return new Orders(0, false, !empty, true);
        }
        boolean mayEnd = !listen || plan.listenMs() == Double.POSITIVE_INFINITY;
        if (empty && mayEnd && now - quietSinceMs >= plan.quietMs()) {
            phase = Phase.DRAINED;
            share = 1;
            return new Orders(0, false, false, true);
        }
        share = Math.max(share, done());
        return new Orders(endIdle, listen, false, false);
    }

    /** In even steps: at each, the part of the idle ones that the time passed is of the time left. */
    private int endIdle(double now, double since, int idle) {
        double left = plan.holdIdleMs() + plan.paceMs() - since;
        if (since < plan.holdIdleMs()) {
            return 0;
        }
        if (left <= 0) {
            return idle;
        }
        double passed = Math.min(now - lastMs, since - plan.holdIdleMs());
        credit += idle * Math.min(1, passed / (left + passed));
        int whole = (int) Math.min(idle, credit);
        credit -= whole;
        return whole;
    }

    /** Of the most that was open at a time, what is not any more. Requests answered in between are no progress. */
    private double done() {
        int left = counts.connections() + counts.owed();
        most = Math.max(most, left);
        return most == 0 ? 0 : Math.min(NEARLY, 1 - (double) left / most);
    }

    /** How it goes now. */
    public Progress progress(double now) {
        if (phase == Phase.SERVING) {
            return new Progress(phase, 0, counts.owed(), counts.connections(), 0, 0, drains, cancels);
        }
        double bound = Math.max(0, deadlineMs - now);
        double since = Math.max(1, now - beganMs);
        double pace = share <= 0 ? bound : since * (1 - share) / share;
        double left = phase == Phase.DRAINING ? Math.min(bound, pace + plan.quietMs()) : 0;
        return new Progress(
                phase,
                phase == Phase.DRAINED ? 1 : share,
                counts.owed(),
                counts.connections(),
                left,
                phase == Phase.DRAINING ? bound : 0,
                drains,
                cancels);
    }
}
