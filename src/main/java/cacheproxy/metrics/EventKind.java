package cacheproxy.metrics;

/** The kinds of logged events. Their keys are stable: operators and tools search for them. */
public enum EventKind {
    /** A client was disconnected because it stopped within a request, or sent none. */
    CLIENT_TIMEOUT("client_timeout"),
    /** A client's connection could not be accepted. */
    ACCEPT_FAILED("accept_failed"),
    /** A client violated its protocol; its connection is closed. */
    CLIENT_PROTOCOL_ERROR("client_protocol_error"),
    /** A request was rejected because it is invalid. */
    REQUEST_INVALID("request_invalid"),
    /** A request was completed because its deadline or that of a drain had passed. */
    REQUEST_ABORTED("request_aborted"),
    /** The load balancer ordered an attempt that the rules do not permit; it was not sent. */
    ATTEMPT_FORBIDDEN("attempt_forbidden"),
    /** A safety rule was violated. None is expected. */
    RULE_VIOLATION("rule_violation"),
    /** A server violated its protocol; its connection is closed. */
    SERVER_PROTOCOL_ERROR("server_protocol_error"),
    /** The endpoint list has changed. */
    ENDPOINT_LIST_CHANGED("endpoint_list_changed"),
    /** A poll of the endpoint list has failed. */
    ENDPOINT_LIST_POLL_FAILED("endpoint_list_poll_failed"),
    /** An entry of the endpoint list is unusable and was skipped. */
    ENDPOINT_LIST_ENTRY_INVALID("endpoint_list_entry_invalid"),
    /** The event loop was blocked for longer than deadlines allow for. */
    EVENT_LOOP_STALLED("event_loop_stalled"),
    /** A bug of this program. None is expected. */
    INTERNAL_ERROR("internal_error"),
    /** Anything else that operators may want to know. */
    INFO("info");

    private final String key;

    EventKind(String key) {
        this.key = key;
    }

    /** Its name in the log. */
    public String key() {
        return key;
    }
}
