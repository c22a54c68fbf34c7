package cacheproxy.admission;

/**
 * The result of a check by {@link SafetyRules}: allowed, or the condition that forbids the action. The rules are
 * numbered as in {@code docs/GLOSSARY.md}. Logs and counters show the keys, which are stable.
 */
public enum Verdict {
    /** No condition forbids the action. */
    ALLOWED("allowed"),
    /** Rule 1: a request gets one final response, and no attempt begins once a response has begun. */
    REQUEST_ANSWERED("request_answered"),
    /** Rule 1: no attempt begins for a request whose client has disconnected. */
    CLIENT_DISCONNECTED("client_gone"),
    /** Rule 1: the timeout sent to an endpoint is limited by the client's remaining time, and no time remains. */
    DEADLINE_EXCEEDED("no_time_left"),
    /** Settings: a request has at most {@code caps.max-attempts} attempts. */
    ATTEMPTS_EXHAUSTED("attempts_spent"),
    /** Rule 3: no new attempt is sent to an endpoint that is draining or has been removed from the list. */
    ENDPOINT_NOT_READY("server_not_ready"),
    /** Rule 2: a non-idempotent request that may have taken effect is neither repeated nor rejected. */
    MAYBE_EXECUTED("may_have_run"),
    /**
     * Rule 2: a request with an idempotency key that may have taken effect is repeated only at endpoints that
     * deduplicate the repeat.
     */
    OUTSIDE_DEDUPLICATION_SCOPE("other_group"),
    /**
     * Rule 2: a request with an idempotency key that may have taken effect is repeated only within its deduplication
     * window.
     */
    DEDUPLICATION_WINDOW_EXPIRED("window_over"),
    /** Rule 2: where the settings forbid hedging, a request has at most one attempt in flight. */
    HEDGING_NOT_ALLOWED("second_copy");

    private final String key;

    Verdict(String key) {
        this.key = key;
    }

    /** Whether the action is allowed. */
    public boolean allowed() {
        return this == ALLOWED;
    }

    /** The name in logs and counters. It is stable, whatever the constant's name. */
    public String key() {
        return key;
    }
}
