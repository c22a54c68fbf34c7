package cacheproxy.routing;

/** How an attempt ended, and whether it may have executed the request. */
public enum AttemptOutcome {
    /** The endpoint served the request. */
    OK(true),
    /** The endpoint does not have the object. */
    MISS(false),
    /** The endpoint reported an error. */
    ERROR(true),
    /** The endpoint rejected the request. */
    REJECTED(false),
    /** No response within the attempt's timeout. */
    TIMEOUT(true),
    /**
     * No connection could be established: refused, timed out, or still pending when the attempt ended. For a health
     * check also that the endpoint accepts no requests.
     */
    CONNECT_FAILED(false),
    /** The connection was closed while the attempt was in flight. */
    RESET(true),
    /** This instance cancelled the attempt. */
    CANCELLED(true),
    /** The request was not written. */
    NOT_SENT(false),
    /**
     * The endpoint has reached its connection limit without a connection of this instance, and closed a new one before
     * reading from it.
     */
    CONNECTION_LIMIT(false);

    private final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Whether the request may have been executed, or may still be. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
