package cacheproxy.proxy;

/** The final outcome of a request. Each request has exactly one, counted when it is decided. */
public enum RequestOutcome {
    /** Answered with a server's response. */
    SUCCEEDED("succeeded"),
    /** Rejected with a promise that a repeat is harmless. */
    REJECTED("rejected"),
    /** Failed, so that it is unknown whether it was executed; or invalid, and not executed. */
    FAILED("failed"),
    /** Its client disconnected before the response. Not counted by service class. */
    CLIENT_DISCONNECTED("client_disconnected");

    private final String key;

    RequestOutcome(String key) {
        this.key = key;
    }

    /** The name in answers to operators. */
    public String key() {
        return key;
    }
}
