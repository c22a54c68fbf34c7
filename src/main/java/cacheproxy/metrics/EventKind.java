package cacheproxy.metrics;

/** The kinds of log events. The keys are stable, because operators and tools search for them. */
public enum EventKind {
    /** A client was disconnected because it stopped sending within a request or sent no request. */
    CLIENT_TIMEOUT("client_timeout"),
    /** A client connection could not be accepted. */
    ACCEPT_FAILED("accept_failed"),
    /** A client violated the protocol; its connection is closed. */
    CLIENT_PROTOCOL_ERROR("client_protocol_error"),
    /** A request was rejected because it is invalid. */
    REQUEST_INVALID("request_invalid"),
    /** A request was completed because its deadline or the deadline of a drain had passed. */
    REQUEST_ABORTED("request_aborted"),
    /** The load balancer ordered an attempt that the safety rules forbid; it was not sent. */
    ATTEMPT_FORBIDDEN("attempt_forbidden"),
    /** A safety rule was violated. None is expected. */
    RULE_VIOLATION("rule_violation"),
    /** A server violated the protocol; its connection is closed. */
    SERVER_PROTOCOL_ERROR("server_protocol_error"),
    /** The endpoint list has changed. */
    ENDPOINT_LIST_CHANGED("endpoint_list_changed"),
    /** A poll of the endpoint list has failed. */
    ENDPOINT_LIST_POLL_FAILED("endpoint_list_poll_failed"),
    /** An entry of the endpoint list is invalid and was skipped. */
    ENDPOINT_LIST_ENTRY_INVALID("endpoint_list_entry_invalid"),
    /** The event loop was blocked for longer than the margin that deadlines include. */
    EVENT_LOOP_STALLED("event_loop_stalled"),
    /** The native transport can't be loaded: the process serves with the JDK's, which knows less of connections. */
    NATIVE_TRANSPORT_UNAVAILABLE("native_transport_unavailable"),
    /** A bug in this program. None is expected. */
    INTERNAL_ERROR("internal_error"),
    /** Any other information for operators. */
    INFO("info");

    private final String key;

    EventKind(String key) {
        this.key = key;
    }

    /** The name in the log. */
    public String key() {
        return key;
    }
}
