package cacheproxy.proxy;

/** The final outcome of a request. Each request has exactly one, counted when it is decided. */
public enum RequestOutcome {
    /** Answered with a server's response. */
    SUCCEEDED,
    /** Rejected with a promise that a repeat is harmless. */
    REJECTED,
    /** Failed, or invalid: it is not known whether it ran, or it could not be carried out at all. */
    FAILED,
    /** Its client disconnected before it was answered. Not counted. */
    CLIENT_DISCONNECTED
}
