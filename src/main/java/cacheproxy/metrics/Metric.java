package cacheproxy.metrics;

/**
 * The counters of one proxy: the load that it puts on resources shared with the fleet, and the outcomes of its
 * requests. Incremented where the event happens.
 */
public enum Metric {
    /** Polls for the endpoint list, including restarted watches. */
    ENDPOINT_LIST_POLLS("list_calls", "calls for the list"),
    /** Polls that returned nothing usable. */
    ENDPOINT_LIST_POLL_FAILURES("list_failures", "of these failed"),
    /** Connections to nodes and the origin that were begun. */
    CONNECTIONS_OPENED("connections", "connections opened"),
    /** Connections that were never established. */
    CONNECTIONS_FAILED("connections_failed", "of these refused or silent"),
    /** Connections that were established and then rejected because the node was at its connection limit. */
    CONNECTIONS_REJECTED("no_place", "of these without a place"),
    /** Attempts, including the first of each request. */
    ATTEMPTS("attempts", "attempts"),
    /** Attempts begun after an earlier attempt of the same request, while none was in flight. */
    RETRIES("retries", "of these retries"),
    /** Attempts begun while another attempt of the same request was in flight. */
    HEDGES("second_copies", "of these second copies"),
    /** Attempts at ejected endpoints and health checks. */
    PROBES("trials", "trials of avoided servers"),
    /** Reads sent to the origin. */
    ORIGIN_FETCHES("fetches", "fetches at the origin"),
    /** Messages sent to peers; a message to all peers counts once. */
    PEER_MESSAGES_SENT("messages_sent", "messages sent"),
    /** Messages received from peers. */
    PEER_MESSAGES_RECEIVED("messages_heard", "messages heard"),
    /** Requests answered with a server's response. */
    REQUESTS_SUCCEEDED("served", "requests served"),
    /** Requests rejected such that the client can safely repeat them. */
    REQUESTS_REJECTED("refused", "requests refused"),
    /** Requests that failed. */
    REQUESTS_FAILED("failed", "requests failed"),
    /** Clients disconnected because they stopped sending within a request or sent no request. */
    CLIENT_TIMEOUTS("clients_timed_out", "clients timed out"),
    /** How often the event loop was blocked for longer than the margin that deadlines include. */
    EVENT_LOOP_STALLS("held_ups", "held up"),
    /** Client connections that the operating system could not accept. */
    ACCEPT_FAILURES("accepts_failed", "accepts failed");

    private final String key;
    private final String label;

    Metric(String key, String label) {
        this.key = key;
        this.label = label;
    }

    /** The name of its field in a {@link MetricsLine}. */
    public String key() {
        return key;
    }

    /** The label of its row in the table printed by the {@code figures} command. */
    public String label() {
        return label;
    }
}
