package cacheproxy.recovery;

import cacheproxy.backoff.ExponentialBackoff;
import cacheproxy.backoff.FailureBackoff;
import java.util.Collection;

/**
 * Decides whether this instance carries more than its share of the load, and how many client connections it should
 * close between requests so that clients reconnect elsewhere. After a restart of all instances, the first one to be
 * back receives all clients and keeps them, as their connections are long-lived. Whatever distributes the connections
 * cannot be asked to move them, but a closed connection is distributed again once other instances are available.
 *
 * <p>It closes a few connections at a time and evaluates the effect. If the clients reconnect to this instance (they
 * run beside it, or one client sends a tenth of all requests), closing more connections does not help, and it backs
 * off.
 *
 * <p>Times are milliseconds of one clock, rates are requests per second. Not thread-safe.
 */
public final class ConnectionRebalancer {
    /** The ratio of its own rate to the mean above which it begins to close connections. */
    public static final double OVERLOAD_RATIO = 1.3;
    /** The ratio down to which it continues to close them. */
    public static final double TARGET_RATIO = 1.1;
    /** The requests per second above the mean that justify closing a connection. */
    static final double MIN_EXCESS_PER_SECOND = 3;
    /** How long the overload has to persist first; the rates of other instances are up to this old. */
    static final double MIN_OVERLOAD_MS = 1000;
    /**
     * The part of the excess connections that is closed per second; it brings an instance from 60 times the mean down
     * to 1.5 times within ten seconds.
     */
    static final double CLOSE_SHARE_PER_SECOND = 0.6;
    /** The time after which the effect is evaluated. */
    static final double EVALUATION_MS = 4000;
    /** The part of the excess that has to be gone by then. */
    static final double MIN_IMPROVEMENT = 0.2;

    static final double INITIAL_BACKOFF_MS = 30_000;
    static final double MAX_BACKOFF_MS = 600_000;

    private final FailureBackoff backoff =
            new FailureBackoff(new ExponentialBackoff(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS));
    private double overloadedSinceMs = Double.NaN;
    private double lastUpdateMs = Double.NaN;
    /** The number of connections that may be closed; the fraction carries over to the next call. */
    private double closeCredit;

    private double evaluationStartMs = Double.NaN;
    private double evaluationStartRatio;
    private int closedSinceEvaluation;
    private double backoffUntilMs = Double.NEGATIVE_INFINITY;
    private long connectionsClosed;
    private double loadRatio = 1;

    /**
     * The number of connections to close now; to be called several times a second.
     *
     * @param ownRate requests per second that this instance receives
     * @param otherRates those of the other serving instances; empty if there are none
     * @param open client connections
     * @param idle open connections without a request in progress
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

    /** The time since the last call, limited to the highest age of other instances' rates. */
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
            backoff.reset(); // closing connections has helped
            startEvaluation(nowMs);
        }
    }

    /** Evaluates the effect when it is due; false if it was too small, so that the rebalancer backs off. */
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
        // Bounds the credit that found no idle connections, so that it is not spent at once later.
        closeCredit = Math.min(closeCredit - closed, Math.max(1, open * CLOSE_SHARE_PER_SECOND));
        closedSinceEvaluation += closed;
        connectionsClosed += closed;
        return closed;
    }

    /**
     * The rate of this instance divided by the mean of the serving instances, as of the last call; 1 while no rate is
     * known.
     */
    public double loadRatio() {
        return loadRatio;
    }

    /** The number of connections that it has returned to be closed. */
    public long connectionsClosed() {
        return connectionsClosed;
    }

    /** Whether it closes no connections for a while because closing them did not help. */
    public boolean isBackingOff(double nowMs) {
        return nowMs < backoffUntilMs;
    }
}
