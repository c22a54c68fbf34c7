package cacheproxy.metrics;

/**
 * A counter of the load that one proxy puts on what it shares with the rest of the fleet, and of what became of its
 * requests. Incremented where the event happens.
 */
public enum Metric {
    /** Polls for the endpoint list, including watches that were started again. */
    ENDPOINT_LIST_POLLS("list_calls", "calls for the list"),
    /** Polls that returned nothing usable. */
    ENDPOINT_LIST_POLL_FAILURES("list_failures", "of these failed"),
    /** Connections to nodes and origin that were begun. */
    CONNECTIONS_OPENED("connections", "connections opened"),
    /** Connections that were never established. */
    CONNECTIONS_FAILED("connections_failed", "of these refused or silent"),
    /** Connections that were established and then rejected because the node was at its connection limit. */
    CONNECTIONS_REJECTED("no_place", "of these without a place"),
    /** Attempts, including the first of each request. */
    ATTEMPTS("attempts", "attempts"),
    /** Attempts begun after another of the same request had ended. */
    RETRIES("retries", "of these retries"),
    /** Attempts begun while another of the same request was in flight. */
    HEDGES("second_copies", "of these second copies"),
    /** Attempts at ejected endpoints and health checks. */
    PROBES("trials", "trials of avoided servers"),
    /** Reads sent to the origin. */
    ORIGIN_FETCHES("fetches", "fetches at the origin"),
    /** Messages sent to peers; one to all peers counts once. */
    PEER_MESSAGES_SENT("messages_sent", "messages sent"),
    /** Messages received from peers. */
    PEER_MESSAGES_RECEIVED("messages_heard", "messages heard"),
    /** Requests answered with a server's response. */
    REQUESTS_SUCCEEDED("served", "requests served"),
    /** Requests rejected with a promise that a repeat is harmless. */
    REQUESTS_REJECTED("refused", "requests refused"),
    /** Requests that failed. */
    REQUESTS_FAILED("failed", "requests failed"),
    /** Clients disconnected because they stopped within a request, or sent none. */
    CLIENT_TIMEOUTS("clients_timed_out", "clients timed out"),
    /** Times the event loop was blocked for longer than deadlines allow for. */
    EVENT_LOOP_STALLS("held_ups", "held up"),
    /** Connections of clients that the operating system could not accept. */
    ACCEPT_FAILURES("accepts_failed", "accepts failed");

    private final String key;
    private final String label;

    Metric(String key, String label) {
        this.key = key;
        this.label = label;
    }

    /** The field that holds it in a {@link MetricsLine}. */
    public String key() {
        return key;
    }

    /** The heading of its row in the table that the command {@code figures} prints. */
    public String label() {
        return label;
    }
}
