package cacheproxy.model;

/** What is counted, second by second, over all instances. */
public enum Figure {
    /** Worth of the first tries that came in this second, each counted once however often its client came again. */
    WORTH_ASKED("worth asked for"),
    /** Of that, what was earned: all of it within the class's aim, a part of it until the client gave up. */
    WORTH_EARNED("worth earned"),
    FIRST_TRIES("first tries"),
    /** Requests that instances took, clients' repeats among them. */
    REQUESTS("requests"),
    SERVED("served"),
    REFUSED("refused"),
    FAILED("failed"),
    /** Requests that were open at an instance when it was killed, and that clients found nobody for. */
    ABANDONED("abandoned"),
    /** Refused or failed while nothing was out for it, at the end of its time. */
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

    /** As tables name it. */
    public String words() {
        return words;
    }
}
