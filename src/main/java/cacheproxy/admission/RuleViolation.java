package cacheproxy.admission;

/**
 * A violation of a safety rule, detected after the fact. Each violation is counted and logged; none is expected. The
 * rules are numbered as in {@code docs/GLOSSARY.md}. Logs and counters show the keys, which are stable.
 */
public enum RuleViolation {
    /** Rule 1: a request got more than one final response, or its streamed response ended more than once. */
    ANSWERED_TWICE("answered_twice"),
    /** Rule 1: a final response came more than {@link SafetyRules#FINAL_ANSWER_SLACK_MS} after the deadline. */
    ANSWERED_LATE("answered_late"),
    /** Rule 1: the proxy closed a client connection while a request on it was unanswered. */
    CLOSED_BEFORE_ANSWER("closed_owing"),
    /**
     * Rule 1: the timeout sent to an endpoint exceeded the client's remaining time by more than
     * {@link SafetyRules#SENT_TIMEOUT_SLACK_MS}.
     */
    EXCESSIVE_TIMEOUT_SENT("told_too_much"),
    /** Rule 2: a rejection was ordered for a request that may have taken effect; the request failed instead. */
    REJECTED_THOUGH_MAYBE_EXECUTED("refused_though_it_may_have_run");

    private final String key;

    RuleViolation(String key) {
        this.key = key;
    }

    /** The name in logs and counters. It is stable, whatever the constant's name. */
    public String key() {
        return key;
    }
}
