package cacheproxy.metrics;

/** The kinds of events that are logged. Their names are stable: operators search for them. */
public enum EventKind {
    /** A client was ended as it stopped in the middle of a request, or sent none. */
    CLIENT_TIMEOUT("client_timed_out"),
    /** A connection of a client could not be accepted. */
    ACCEPT_FAILED("accept_failed"),
    /** A client sent what can't be read; its connection ends. */
    CLIENT_PROTOCOL_ERROR("client_unreadable"),
    /** A request was turned away as none that can be carried out. */
    REQUEST_INVALID("request_rejected"),
    /** A request had no answer from the decision module at its time, or a drain's end answered it. */
    REQUEST_ABORTED("request_cut"),
    /** An attempt was ordered and must not begin. */
    ATTEMPT_FORBIDDEN("attempt_forbidden"),
    /** A rule was seen to be broken. */
    RULE_VIOLATION("breach"),
    /** A server's answer can't be read; its connection ends. */
    SERVER_PROTOCOL_ERROR("server_unreadable"),
    /** The list of servers has changed: to which version, by whose word, and what of it. */
    ENDPOINT_LIST_CHANGED("list_changed"),
    /** A call for the list has failed: its form and why. */
    ENDPOINT_LIST_POLL_FAILED("list_call_failed"),
    /** Something of an answer of discovery's can't be used and was left out. */
    ENDPOINT_LIST_ENTRY_INVALID("list_entry_unusable"),
    /** The event loop was held up for longer than deadlines allow for. */
    EVENT_LOOP_STALLED("held_up"),
    /** A mistake of the program. */
    INTERNAL_ERROR("fault"),
    /** Anything else. */
    INFO("note");

    private final String key;

    EventKind(String key) {
        this.key = key;
    }

    /** Its name in the log. */
    public String key() {
        return key;
    }
}
