package cacheproxy.proxy;

/** The final outcome of a request. Each request has exactly one, counted when it is decided. */
public enum RequestOutcome {
    /** Answered with a server's response. */
    SUCCEEDED,
    /** Rejected with a promise that a repeat is harmless. */
    REJECTED,
    /** Failed, so that it is unknown whether it was executed; or invalid, and not executed. */
    FAILED,
    /** Its client disconnected before the response. Not counted by service class. */
    CLIENT_DISCONNECTED
}
