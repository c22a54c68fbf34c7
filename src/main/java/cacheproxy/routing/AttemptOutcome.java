package cacheproxy.routing;

/** How an attempt ended, and whether it may have executed the request. */
public enum AttemptOutcome {
    /** The endpoint served the request. */
    OK("ok", true),
    /** The endpoint does not have the object. */
    MISS("miss", false),
    /** The endpoint reported an error. */
    ERROR("error", true),
    /** The endpoint rejected the request. */
    REJECTED("rejected", false),
    /** No response within the attempt's timeout. */
    TIMEOUT("timeout", true),
    /**
     * No connection could be established: refused, timed out, or still pending when the attempt ended. For a health
     * check also that the endpoint accepts no requests.
     */
    CONNECT_FAILED("connect_failed", false),
    /** The connection was closed while the attempt was in flight. */
    RESET("reset", true),
    /** This instance cancelled the attempt. */
    CANCELLED("cancelled", true),
    /** The request was not written. */
    NOT_SENT("not_sent", false),
    /**
     * The endpoint has reached its connection limit without a connection of this instance, and closed a new one before
     * reading from it.
     */
    CONNECTION_LIMIT("connection_limit", false);

    private final String key;
    private final boolean mayHaveRun;

    AttemptOutcome(String key, boolean mayHaveRun) {
        this.key = key;
        this.mayHaveRun = mayHaveRun;
    }

    /** The name in answers to operators. */
    public String key() {
        return key;
    }

    /** Whether the request may have been executed, or may still be. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
