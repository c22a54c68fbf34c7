package cacheproxy.route;

import cacheproxy.routing.AttemptEnd;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.Request;
import java.util.ArrayList;
import java.util.List;

/**
 * A request from its admission until it is closed and its attempts have ended: its route, the pool that has it, and its
 * attempts. The dispatcher numbers attempts over both pools, each pool's load balancer its own from 0, including those
 * that were not allowed; this class maps one to the other. Not thread-safe.
 */
final class RoutedRequest {
    /**
     * An attempt that was sent.
     *
     * @param pool whose load balancer ordered it
     * @param index its index there
     */
    record PoolAttempt(PoolBalancer pool, int index) {}

    private final Request request;
    private final ActiveRoute route;
    private final boolean idempotent;
    private PoolBalancer pool;
    /** Attempts that the present pool's load balancer has ordered, sent or not. */
    private int ordered;
    /** Attempts that were sent, by the dispatcher's index. */
    private final List<PoolAttempt> attempts = new ArrayList<>(3);

    private int inFlight;
    /** Attempts that count against the policy. */
    private int countedAttempts;
    /** Whether the last attempt to end was a miss. */
    private boolean missed;
    /** Whether an attempt has ended without an answer of use. */
    private boolean failed;

    private boolean mayHaveRun;
    private boolean fellBack;
    private boolean closed;

    RoutedRequest(Request request, ActiveRoute route, boolean idempotent) {
        this.request = request;
        this.route = route;
        this.idempotent = idempotent;
        pool = route.pool();
    }

    Request request() {
        return request;
    }

    ActiveRoute route() {
        return route;
    }

    /** The pool that has it now. */
    PoolBalancer pool() {
        return pool;
    }

    // ---- attempts

    /** Counts an order of the present pool's load balancer; the index of that attempt there. */
    int nextOrderIndex() {
        return ordered++;
    }

    /** An attempt that the pool's load balancer has ordered goes out. */
    void onAttemptSent(PoolBalancer sender, int index) {
        countedAttempts += missed ? 0 : 1;
        missed = false;
        attempts.add(new PoolAttempt(sender, index));
        inFlight++;
    }

    void onAttemptEnd(AttemptOutcome outcome) {
        inFlight--;
        mayHaveRun |= outcome.mayHaveRun();
        missed = outcome == AttemptOutcome.MISS;
        failed |= switch (outcome) {
            case REJECTED, TIMEOUT, CONNECT_FAILED, RESET, NOT_SENT, CONNECTION_LIMIT -> true;
            default -> false;
        };
    }

    /** The attempt of this index of the dispatcher's; null if there is none. */
    PoolAttempt attempt(int dispatcherIndex) {
        return dispatcherIndex < attempts.size() ? attempts.get(dispatcherIndex) : null;
    }

    /** The dispatcher's index of an attempt; -1 if it was not sent. */
    int dispatcherIndex(PoolBalancer sender, int index) {
        return attempts.indexOf(new PoolAttempt(sender, index));
    }

    /** The end of an attempt with the index that its load balancer uses. */
    static AttemptEnd forPool(AttemptEnd end, PoolAttempt attempt) {
        return new AttemptEnd(
                end.requestId(),
                attempt.index(),
                end.endpointId(),
                end.outcome(),
                end.elapsedMs(),
                end.requestCompleted(),
                end.note(),
                end.report());
    }

    boolean hasInFlight() {
        return inFlight != 0;
    }

    int countedAttempts() {
        return countedAttempts;
    }

    /** Whether the last attempt to end was a miss, so that asking the origin is no retry. */
    boolean missed() {
        return missed;
    }

    /** Whether an attempt has ended without an answer of use. */
    boolean hasFailedAttempt() {
        return failed;
    }

    // ---- fallback and close

    /**
     * Whether it may go to its fallback pool: it is owed an answer, nothing of it is in flight, attempts are left, and
     * unless it is idempotent no attempt may have run.
     *
     * @param maxAttempts of the settings
     */
    boolean mayFallBack(double nowMs, int maxAttempts) {
        return route.fallback() != null
                && !fellBack
                && !closed
                && !hasInFlight()
                && nowMs < request.deadlineMs()
                && (idempotent || !mayHaveRun)
                && countedAttempts < route.limits().policy().maxAttempts()
                && attempts.size() < maxAttempts;
    }

    /** Moves it to its fallback pool. */
    void fallBack() {
        fellBack = true;
        route.onFallback();
        pool.addOpenRequests(-1);
        pool = route.fallback();
        pool.addOpenRequests(1);
        ordered = 0;
    }

    boolean hasFallenBack() {
        return fellBack;
    }

    /** Whether it has had its final answer, or nobody waits for one. */
    boolean isClosed() {
        return closed;
    }

    void close() {
        closed = true;
    }
}
