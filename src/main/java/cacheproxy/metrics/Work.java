package cacheproxy.metrics;

/** What a proxy asks of what it shares with the others of its tier, each counted where it is done. */
public enum Work {
    /** Calls for the list, watches that are begun anew among them. */
    LIST_CALLS("list_calls", "calls for the list"),
    /** Those that brought nothing that could be used. */
    LIST_FAILURES("list_failures", "of these failed"),
    /** Connections to nodes and origin that were begun. */
    CONNECTIONS("connections", "connections opened"),
    /** Those that did not come up. */
    CONNECTIONS_FAILED("connections_failed", "of these refused or silent"),
    /** Those that came up and were turned away, as the node had no place left. */
    NO_PLACE("no_place", "of these without a place"),
    /** Attempts, the first of each request among them. */
    ATTEMPTS("attempts", "attempts"),
    /** Those after another had ended. */
    RETRIES("retries", "of these retries"),
    /** Those beside another that was still out. */
    SECOND_COPIES("second_copies", "of these second copies"),
    /** Those to find out whether a server that is avoided is well again, and probes. */
    TRIALS("trials", "trials of avoided servers"),
    /** Reads that were sent to the origin. */
    FETCHES("fetches", "fetches at the origin"),
    /** Messages to peers; one to all of them counts once. */
    MESSAGES_SENT("messages_sent", "messages sent"),
    /** Messages of peers. */
    MESSAGES_HEARD("messages_heard", "messages heard"),
    /** Final answers with what a server made for the request. */
    SERVED("served", "requests served"),
    /** Refusals. */
    REFUSED("refused", "requests refused"),
    /** Failures. */
    FAILED("failed", "requests failed"),
    /** Clients that were ended as they stopped in the middle of a request, or sent none. */
    CLIENTS_TIMED_OUT("clients_timed_out", "clients timed out"),
    /** Times in which the event loop stood still for longer than deadlines allow for. */
    HELD_UPS("held_ups", "held up"),
    /** Connections of clients that the system could not hand over. */
    ACCEPTS_FAILED("accepts_failed", "accepts failed");

    private final String key;
    private final String words;

    Work(String key, String words) {
        this.key = key;
        this.words = words;
    }

    /** What it is called in a line. */
    public String key() {
        return key;
    }

    /** What it is called in a table. */
    public String words() {
        return words;
    }
}
