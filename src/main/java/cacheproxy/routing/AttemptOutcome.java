package cacheproxy.routing;

/**
 * How an attempt ended. {@code CONNECTION_LIMIT}: the server holds as many connections as it takes, none of them ours;
 * it turned a new one away, unheard.
 */
public enum AttemptOutcome {
    OK(true),
    MISS(false),
    ERROR(true),
    REJECTED(false),
    TIMEOUT(true),
    CONNECT_FAILED(false),
    RESET(true),
    CANCELLED(true),
    NOT_SENT(false),
    CONNECTION_LIMIT(false);

    private final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Whether the request may have taken effect (or may yet). */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
