package cacheproxy.route;

import cacheproxy.routing.Request;

/** A policy with what it counts over all routes that name it: open requests and the retry budget. Not thread-safe. */
final class PolicyLimits {
    private final RoutePolicy policy;
    private final RetryBudget retryBudget;
    private int openRequests;

    PolicyLimits(RoutePolicy policy) {
        this.policy = policy;
        retryBudget = new RetryBudget(policy.retryRatio(), policy.minRetriesPerSecond());
    }

    RoutePolicy policy() {
        return policy;
    }

    /** Whether the policy rejects a request that arrives now. */
    boolean rejects(Request request) {
        return policy.rejects(request.write()) || openRequests >= policy.maxOpenRequests();
    }

    /** Counts an admitted request for the retry budget. */
    void onAdmitted(double nowMs) {
        retryBudget.onRequest(nowMs);
    }

    void onOpened() {
        openRequests++;
    }

    void onClosed() {
        openRequests--;
    }

    /** The request with the earlier of its client's deadline and the policy's. */
    Request withDeadline(double nowMs, Request request) {
        double deadlineMs = Math.min(request.deadlineMs(), nowMs + policy.deadlineMs());
        return deadlineMs == request.deadlineMs()
                ? request
                : new Request(
                        request.id(),
                        request.serviceClass(),
                        request.tenant(),
                        request.key(),
                        deadlineMs,
                        request.costMs(),
                        request.bytes(),
                        request.write(),
                        request.clientRetry());
    }

    /**
     * Whether a request gets another attempt after its first; if so, it is taken from the retry budget.
     *
     * @param attempts those it has had
     * @param inFlight whether one of them is in flight, so that this one would be a hedge
     */
    boolean tryRetry(double nowMs, int attempts, boolean inFlight) {
        return attempts < policy.maxAttempts() && (policy.hedgingAllowed() || !inFlight) && retryBudget.tryTake(nowMs);
    }
}
