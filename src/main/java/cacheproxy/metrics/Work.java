package cacheproxy.metrics;

import java.util.Locale;

/** What a proxy asks of what it shares with the others of its tier, each counted where it is done. */
public enum Work {
    /** Calls for the list, watches that are begun anew among them. */
    LIST_CALLS("calls for the list"),
    /** Those that brought nothing that could be used. */
    LIST_FAILURES("of these failed"),
    /** Connections to nodes and origin that were begun. */
    CONNECTIONS("connections opened"),
    /** Those that did not come up. */
    CONNECTIONS_FAILED("of these refused or silent"),
    /** Those that came up and were turned away, as the node had no place left. */
    NO_PLACE("of these without a place"),
    /** Attempts, the first of each request among them. */
    ATTEMPTS("attempts"),
    /** Those after another had ended. */
    RETRIES("of these retries"),
    /** Those beside another that was still out. */
    SECOND_COPIES("of these second copies"),
    /** Those to find out whether a server that is avoided is well again, and probes. */
    TRIALS("trials of avoided servers"),
    /** Reads that were sent to the origin. */
    FETCHES("fetches at the origin"),
    /** Messages to peers; one to all of them counts once. */
    MESSAGES_SENT("messages sent"),
    /** Messages of peers. */
    MESSAGES_HEARD("messages heard"),
    /** Final answers with what a server made for the request. */
    SERVED("requests served"),
    /** Refusals. */
    REFUSED("requests refused"),
    /** Failures. */
    FAILED("requests failed"),
    /** Clients that were ended as they stopped in the middle of a request, or sent none. */
    CLIENTS_TIMED_OUT("clients timed out"),
    /** Times in which the event loop stood still for longer than deadlines allow for. */
    HELD_UPS("held up"),
    /** Connections of clients that the system could not hand over. */
    ACCEPTS_FAILED("accepts failed");

    private final String words;

    Work(String words) {
        this.words = words;
    }

    /** What it is called in a line. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** What it is called in a table. */
    public String words() {
        return words;
    }
}
