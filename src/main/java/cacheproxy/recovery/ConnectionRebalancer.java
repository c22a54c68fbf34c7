package cacheproxy.recovery;

import cacheproxy.backoff.ExponentialBackoff;
import cacheproxy.backoff.FailureBackoff;
import java.util.Collection;

/**
 * Decides whether this instance carries more than its share of the load, and how many client connections it should
 * close between requests so that clients reconnect elsewhere. After a restart of all instances the first one back gets
 * all clients and keeps them, as their connections last; whoever distributes connections can't be asked to move some,
 * but a connection that is closed is distributed anew, now that other instances are there.
 *
 * <p>It closes few at a time and evaluates the effect: where clients come back to this instance (they sit beside it, or
 * one client sends a tenth of all requests), closing more helps nobody, and it backs off.
 *
 * <p>Times are milliseconds of one clock, rates requests a second. Not thread-safe.
 */
public final class ConnectionRebalancer {
    /** It begins to close connections above this ratio of its own rate to the mean. */
    public static final double OVERLOAD_RATIO = 1.3;
    /** Once begun, it goes on down to this ratio. */
    public static final double TARGET_RATIO = 1.1;
    /** Requests a second above the mean that are worth closing a connection. */
    static final double MIN_EXCESS_PER_SECOND = 3;
    /** How long the overload has to last first; others' rates are up to so old. */
    static final double MIN_OVERLOAD_MS = 1000;
    /** The part of the excess connections to close in a second: from 60 times the mean to 1.5 in ten seconds. */
    static final double CLOSE_SHARE_PER_SECOND = 0.6;
    /** After so long the effect is evaluated. */
    static final double EVALUATION_MS = 4000;
    /** The part of the excess that has to be gone by then. */
    static final double MIN_IMPROVEMENT = 0.2;

    static final double INITIAL_BACKOFF_MS = 30_000;
    static final double MAX_BACKOFF_MS = 600_000;

    private final FailureBackoff backoff =
            new FailureBackoff(new ExponentialBackoff(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS));
    private double overloadedSinceMs = Double.NaN;
    private double lastUpdateMs = Double.NaN;
    /** Connections that may be closed; the fraction is carried over. */
    private double closeCredit;

    private double evaluationStartMs = Double.NaN;
    private double evaluationStartRatio;
    private int closedSinceEvaluation;
    private double backoffUntilMs = Double.NEGATIVE_INFINITY;
    private long connectionsClosed;
    private double loadRatio = 1;

    /**
     * How many connections to close now; to be called some times a second.
     *
     * @param ownRate requests a second that this instance receives
     * @param otherRates those of the other serving instances; empty where there is none
     * @param open client connections
     * @param idle of these, between requests
     */
    public int connectionsToClose(double nowMs, double ownRate, Collection<Double> otherRates, int open, int idle) {
        double elapsedMs = elapsedMs(nowMs);
        double sumOfOthers =
                otherRates.stream().mapToDouble(Double::doubleValue).sum();
        double meanRate = (ownRate + sumOfOthers) / (1 + otherRates.size());
        loadRatio = meanRate > 0 ? ownRate / meanRate : 1;
        if (otherRates.isEmpty() || !isOverloaded(ownRate - meanRate)) {
            overloadEnded(nowMs);
            return 0;
        }
        if (Double.isNaN(overloadedSinceMs)) {
            overloadedSinceMs = nowMs;
        }
        if (isBackingOff(nowMs) || nowMs - overloadedSinceMs < MIN_OVERLOAD_MS || !closingHelps(nowMs)) {
            return 0;
        }
        return close(elapsedMs, open, idle);
    }

    /** Time since the last call; a longer gap than rates are old counts as that. */
    private double elapsedMs(double nowMs) {
        double elapsedMs =
                Double.isNaN(lastUpdateMs) ? 0 : Math.max(0, Math.min(MIN_OVERLOAD_MS, nowMs - lastUpdateMs));
        lastUpdateMs = nowMs;
        return elapsedMs;
    }

    private boolean isClosing() {
        return closedSinceEvaluation > 0;
    }

    private boolean isOverloaded(double excessRate) {
        return excessRate >= MIN_EXCESS_PER_SECOND && loadRatio > (isClosing() ? TARGET_RATIO : OVERLOAD_RATIO);
    }

    private void overloadEnded(double nowMs) {
        overloadedSinceMs = Double.NaN;
        closeCredit = 0;
        if (isClosing() && loadRatio <= TARGET_RATIO) {
            backoff.reset(); // closing has helped
            startEvaluation(nowMs);
        }
    }

    /** Evaluates the effect when it is time; false if there was too little, and it backs off. */
    private boolean closingHelps(double nowMs) {
        if (!isClosing()) {
            startEvaluation(nowMs);
            return true;
        }
        if (nowMs - evaluationStartMs < EVALUATION_MS) {
            return true;
        }
        boolean tooLittle = evaluationStartRatio - loadRatio < MIN_IMPROVEMENT * (evaluationStartRatio - 1);
        if (tooLittle) {
            backoffUntilMs = nowMs + backoff.nextDelayMs();
        }
        startEvaluation(nowMs);
        return !tooLittle;
    }

    private void startEvaluation(double nowMs) {
        closedSinceEvaluation = 0;
        evaluationStartMs = nowMs;
        evaluationStartRatio = loadRatio;
    }

    private int close(double elapsedMs, int open, int idle) {
        closeCredit += open * (1 - 1 / loadRatio) * CLOSE_SHARE_PER_SECOND * elapsedMs / 1000;
        int closed = (int) Math.min(idle, closeCredit);
        // Credit that found no idle connection is not made up for at once.
        closeCredit = Math.min(closeCredit - closed, Math.max(1, open * CLOSE_SHARE_PER_SECOND));
        closedSinceEvaluation += closed;
        connectionsClosed += closed;
        return closed;
    }

    /** The rate of this instance by the mean of those that serve, as of the last call; 1 while nothing is known. */
    public double loadRatio() {
        return loadRatio;
    }

    /** Connections that it has said to close. */
    public long connectionsClosed() {
        return connectionsClosed;
    }

    /** Whether it closes none for a while, as closing them did not help. */
    public boolean isBackingOff(double nowMs) {
        return nowMs < backoffUntilMs;
    }
}
