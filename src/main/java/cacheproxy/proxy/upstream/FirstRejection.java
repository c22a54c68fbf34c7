package cacheproxy.proxy.upstream;

import cacheproxy.routing.AttemptOutcome;

/**
 * The first attempt on a connection, if it was rejected and it is not yet known why. Only a server that also closes the
 * connection is at its connection limit; that has an outcome of its own, so that proxies do not retry again and again.
 * Event loop only.
 */
final class FirstRejection {
    /** A server at its connection limit closes the connection within this time of its response, in milliseconds. */
    private static final double CLOSE_MS = 5;

    /** Null if there is none, or it has ended. */
    private UpstreamAttempt attempt;

    /** Ends the attempt as rejected unless the connection is closed soon. */
    void await(UpstreamContext context, UpstreamAttempt rejected) {
        attempt = rejected;
        context.after(CLOSE_MS, () -> end(AttemptOutcome.REJECTED));
    }

    /** Whether the reason is not known yet. */
    boolean isPending() {
        return attempt != null;
    }

    /** Ends the attempt, if it has not ended. */
    void end(AttemptOutcome outcome) {
        UpstreamAttempt rejected = attempt;
        attempt = null;
        if (rejected != null) {
            rejected.end(outcome);
        }
    }
}
