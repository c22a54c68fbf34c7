package cacheproxy.admission;

/**
 * Whether an act is allowed now, or the condition that forbids it. The four rules are those of the operators' protocol
 * page and of the wire page's "Lines not to cross".
 */
public enum Verdict {
    /** Nothing speaks against it. */
    ALLOWED("allowed"),
    /** Rule 1: a request has one final answer, and nothing is sent for it after that. */
    REQUEST_ANSWERED("request_answered"),
    /** Rule 1: nothing is sent for a request whose client has left. */
    CLIENT_DISCONNECTED("client_gone"),
    /** Rule 1: a server is told of no more time than the client has left; here none is left. */
    DEADLINE_EXCEEDED("no_time_left"),
    /** Settings: a request is tried no more often than {@code caps.max-attempts}. */
    ATTEMPTS_EXHAUSTED("attempts_spent"),
    /** Rule 3: nothing new goes to a server that drains, or that the list no longer holds. */
    ENDPOINT_NOT_READY("server_not_ready"),
    /** Rule 2: an unsafe request that may have run is neither repeated nor refused. */
    MAYBE_EXECUTED("may_have_run"),
    /** Rule 2: a keyed request that may have run is repeated in its group of servers alone. */
    OUTSIDE_DEDUPLICATION_SCOPE("other_group"),
    /** Rule 2: a keyed request that may have run is repeated within its window alone. */
    DEDUPLICATION_WINDOW_EXPIRED("window_over"),
    /** Rule 2: where the settings forbid second copies, one attempt is out at a time. */
    HEDGING_NOT_ALLOWED("second_copy");

    private final String key;

    Verdict(String key) {
        this.key = key;
    }

    /** Whether it may be done. */
    public boolean allowed() {
        return this == ALLOWED;
    }

    /** Its name in logs and counters; it stays, whatever the constant is called. */
    public String key() {
        return key;
    }
}
