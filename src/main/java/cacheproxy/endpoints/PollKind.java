package cacheproxy.endpoints;

/** The kinds of poll for the endpoint list. */
public enum PollKind {
    /** A long poll: answered when there is a version newer than the one held, or when its wait has elapsed. */
    WATCH("watch"),
    /** Requests the changes since the version held; answered immediately. */
    DELTA("delta"),
    /** Requests the complete list; answered immediately. */
    SNAPSHOT("snapshot");

    private final String logName;

    PollKind(String logName) {
        this.logName = logName;
    }

    /** The name in log lines. */
    public String logName() {
        return logName;
    }
}
