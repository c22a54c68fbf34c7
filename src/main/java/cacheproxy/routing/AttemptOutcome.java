package cacheproxy.routing;

/** How an attempt ended, and whether the request may have taken effect by it. */
public enum AttemptOutcome {
    /** The endpoint served it. */
    OK(true),
    /** The endpoint lacks the object. */
    MISS(false),
    /** The endpoint reports an error. */
    ERROR(true),
    /** The endpoint rejected it. */
    REJECTED(false),
    /** No answer within its timeout. */
    TIMEOUT(true),
    /**
     * No connection could be made: refused, timed out, or still coming up when the attempt ended; of a health check
     * also that the endpoint takes no requests.
     */
    CONNECT_FAILED(false),
    /** The connection broke while it was in flight. */
    RESET(true),
    /** It was cancelled from this side. */
    CANCELLED(true),
    /** It was not written. */
    NOT_SENT(false),
    /** The endpoint holds as many connections as it accepts, none of them ours, and closed a new one unread. */
    CONNECTION_LIMIT(false);

    private final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Whether the request may have taken effect, or may yet. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
