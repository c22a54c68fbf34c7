package cacheproxy.admission;

/**
 * A violation of a rule that was seen after the fact. Each is counted and logged; none is expected. The rules are
 * numbered as in {@code docs/GLOSSARY.md}. Logs and counters show the keys, which are stable.
 */
public enum RuleViolation {
    /** Rule 1: a request was given more than one final answer, or end of a streamed answer. */
    ANSWERED_TWICE("answered_twice"),
    /** Rule 1: a final answer was given more than {@link SafetyRules#FINAL_ANSWER_SLACK_MS} after the deadline. */
    ANSWERED_LATE("answered_late"),
    /** Rule 1: a client's connection was closed from this side while a request on it was unanswered. */
    CLOSED_BEFORE_ANSWER("closed_owing"),
    /**
     * Rule 1: an endpoint was sent a longer timeout than its client had left, with
     * {@link SafetyRules#SENT_TIMEOUT_SLACK_MS}.
     */
    EXCESSIVE_TIMEOUT_SENT("told_too_much"),
    /** Rule 2: a rejection was ordered for a request that may have taken effect; it was answered as failed. */
    REJECTED_THOUGH_MAYBE_EXECUTED("refused_though_it_may_have_run");

    private final String key;

    RuleViolation(String key) {
        this.key = key;
    }

    /** Its name in logs and counters; it stays, whatever the constant is called. */
    public String key() {
        return key;
    }
}
