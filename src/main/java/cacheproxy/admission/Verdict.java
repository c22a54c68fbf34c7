package cacheproxy.admission;

/**
 * Whether an act is allowed now, or the condition that forbids it. The rules are numbered as in
 * {@code docs/GLOSSARY.md}. Logs and counters show the keys, which are stable.
 */
public enum Verdict {
    /** Nothing forbids it. */
    ALLOWED("allowed"),
    /** Rule 1: a request has one final answer, and nothing is sent for it after that. */
    REQUEST_ANSWERED("request_answered"),
    /** Rule 1: nothing is sent for a request whose client has disconnected. */
    CLIENT_DISCONNECTED("client_gone"),
    /** Rule 1: an endpoint is sent no longer timeout than its client has left; here none is left. */
    DEADLINE_EXCEEDED("no_time_left"),
    /** Settings: a request has no more attempts than {@code caps.max-attempts}. */
    ATTEMPTS_EXHAUSTED("attempts_spent"),
    /** Rule 3: nothing new is sent to an endpoint that drains, or that the list no longer has. */
    ENDPOINT_NOT_READY("server_not_ready"),
    /** Rule 2: a request that isn't idempotent and may have taken effect is neither repeated nor rejected. */
    MAYBE_EXECUTED("may_have_run"),
    /**
     * Rule 2: a request with an idempotency key that may have taken effect is repeated only at endpoints that drop the
     * repeat.
     */
    OUTSIDE_DEDUPLICATION_SCOPE("other_group"),
    /**
     * Rule 2: a request with an idempotency key that may have taken effect is repeated only within its deduplication
     * window.
     */
    DEDUPLICATION_WINDOW_EXPIRED("window_over"),
    /** Rule 2: where the settings forbid hedging, one attempt is in flight at a time. */
    HEDGING_NOT_ALLOWED("second_copy");

    private final String key;

    Verdict(String key) {
        this.key = key;
    }

    /** Whether the act may be done. */
    public boolean allowed() {
        return this == ALLOWED;
    }

    /** Its name in logs and counters; it stays, whatever the constant is called. */
    public String key() {
        return key;
    }
}
