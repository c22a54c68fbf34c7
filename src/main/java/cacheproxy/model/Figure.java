package cacheproxy.model;

/** Metrics that are counted per second over all instances. */
public enum Figure {
    /** Worth of first tries that arrived in this second; each counts once however often its client retries. */
    WORTH_ASKED("worth asked for"),
    /** Worth earned: in full within the class's latency objective, in part until its deadline. */
    WORTH_EARNED("worth earned"),
    FIRST_TRIES("first tries"),
    /** Requests that instances accepted, including client retries. */
    REQUESTS("requests"),
    SERVED("served"),
    REFUSED("refused"),
    FAILED("failed"),
    /** Requests open at an instance when it was killed, or for which a client found no instance. */
    ABANDONED("abandoned"),
    /** Refused or failed at its deadline with no attempt in flight. */
    HELD_BACK("held back"),
    ATTEMPTS("attempts"),
    SECOND_COPIES("second copies"),
    TIMED_OUT("attempts timed out"),
    CONNECTIONS("connections opened"),
    NO_PLACE("connections turned away"),
    RESETS("connections reset"),
    CALLS("calls for the list"),
    CALLS_FAILED("calls that failed"),
    MESSAGES("messages"),
    FETCHES("fetches"),
    FETCHES_AGAIN("fetches of a key being fetched"),
    ORIGIN_FULL("turned away by the origin");

    private final String words;

    Figure(String words) {
        this.words = words;
    }

    /** Name for tables. */
    public String words() {
        return words;
    }
}
