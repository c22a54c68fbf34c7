package cacheproxy.endpoints;

/** The kinds of poll for the endpoint list. */
public enum PollKind {
    /** A long poll: answered once there is a version newer than the one held, or when its timeout is over. */
    WATCH("watch"),
    /** Asks for the changes since the version held; answered at once. */
    DELTA("delta"),
    /** Asks for the complete list; answered at once. */
    SNAPSHOT("snapshot");

    private final String logName;

    PollKind(String logName) {
        this.logName = logName;
    }

    /** Its name in the log. */
    public String logName() {
        return logName;
    }
}
