package cacheproxy.recovery;

import java.util.Collection;

/**
 * Whether this instance carries more than its part, and how many of its clients' connections it should end between
 * requests so that they are dealt anew. The first one back after a release gets all clients and keeps them, as these
 * keep their connections; who deals connections can't be told to take some back, but a connection that ends is dealt
 * again, now that others are there.
 *
 * <p>It ends few at a time, and looks at what comes of it: where what it ends comes back to it (its clients sit beside
 * it, or one caller asks for a tenth of all), ending more does nobody any good, and it leaves them alone for a time
 * that doubles.
 */
public final class ConnectionRebalancer {
    /** From so many times the mean on it sheds. */
    public static final double OVERLOAD_RATIO = 1.3;
    /** Down to so many times the mean. */
    public static final double TARGET_RATIO = 1.1;
    /** Requests a second beyond the mean that are worth a connection. */
    static final double MIN_EXCESS_PER_SECOND = 3;
    /** What is seen of rates is so old at most; it has to be more for this long before anything is ended. */
    static final double MIN_OVERLOAD_MS = 1000;
    /** Of those that should go, so many a second: from sixty times the mean to one and a half in ten seconds. */
    static final double CLOSE_SHARE_PER_SECOND = 0.6;
    /** What has come of it is looked at after so long. */
    static final double EVALUATION_MS = 4000;
    /** Of what was to go, so much at least has to have gone. */
    static final double MIN_IMPROVEMENT = 0.2;

    static final double INITIAL_BACKOFF_MS = 30_000;
    static final double MAX_BACKOFF_MS = 600_000;

    private double overloadedSinceMs = Double.NaN;
    private double lastUpdateMs = Double.NaN;
    private double closeCredit;
    private double evaluationStartMs = Double.NaN;
    private double evaluationStartRatio;
    private int closedSinceEvaluation;
    private double backoffMs = INITIAL_BACKOFF_MS;
    private double backoffUntilMs = Double.NEGATIVE_INFINITY;
    private long connectionsClosed;
    private double loadRatio = 1;

    /**
     * How many connections to end now. Some times a second.
     *
     * @param mine requests a second that this instance is asked
     * @param others those of the other instances that serve; empty for nobody to take any
     * @param open connections of its clients
     * @param idle of these, between requests
     */
    public int connectionsToClose(double nowMs, double mine, Collection<Double> others, int open, int idle) {
        double passedMs = Double.isNaN(lastUpdateMs) ? 0 : Math.max(0, Math.min(MIN_OVERLOAD_MS, nowMs - lastUpdateMs));
        lastUpdateMs = nowMs;
        double mean = (mine + others.stream().mapToDouble(Double::doubleValue).sum()) / (1 + others.size());
        loadRatio = mean > 0 ? mine / mean : 1;
        boolean shedding = closedSinceEvaluation > 0;
        boolean more = !others.isEmpty()
                && mine - mean >= MIN_EXCESS_PER_SECOND
                && loadRatio > (shedding ? TARGET_RATIO : OVERLOAD_RATIO);
        if (!more) {
            overloadedSinceMs = Double.NaN;
            closeCredit = 0;
            if (shedding && loadRatio <= TARGET_RATIO) {
                backoffMs = INITIAL_BACKOFF_MS; // it did good
                startEvaluation(nowMs);
            }
            return 0;
        }
        overloadedSinceMs = Double.isNaN(overloadedSinceMs) ? nowMs : overloadedSinceMs;
        if (nowMs < backoffUntilMs || nowMs - overloadedSinceMs < MIN_OVERLOAD_MS) {
            return 0;
        }
        if (closedSinceEvaluation == 0) {
            evaluationStartMs = nowMs;
            evaluationStartRatio = loadRatio;
        } else if (nowMs - evaluationStartMs >= EVALUATION_MS && !closingHelped(nowMs)) {
            return 0;
        }
        closeCredit += open * (1 - 1 / loadRatio) * CLOSE_SHARE_PER_SECOND * passedMs / 1000;
        int now = (int) Math.min(idle, closeCredit);
        closeCredit = Math.min(
                closeCredit - now,
                Math.max(1, open * CLOSE_SHARE_PER_SECOND)); // what found nobody idle is not made up for at once
        closedSinceEvaluation += now;
        connectionsClosed += now;
        return now;
    }

    /** Ends an evaluation; backs off where closing connections has not brought the load down. */
    private boolean closingHelped(double nowMs) {
        boolean helped = evaluationStartRatio - loadRatio >= MIN_IMPROVEMENT * (evaluationStartRatio - 1);
        if (!helped) {
            backoffUntilMs = nowMs + backoffMs;
            backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        }
        startEvaluation(nowMs);
        return helped;
    }

    private void startEvaluation(double nowMs) {
        closedSinceEvaluation = 0;
        evaluationStartMs = nowMs;
        evaluationStartRatio = loadRatio;
    }

    /** What this instance is asked, by the mean of those that serve. */
    public double loadRatio() {
        return loadRatio;
    }

    /** Connections that it has said to end. */
    public long connectionsClosed() {
        return connectionsClosed;
    }

    /** Whether it leaves them alone, as ending them did no good. */
    public boolean isBackingOff(double nowMs) {
        return nowMs < backoffUntilMs;
    }
}
