package cacheproxy.admission;

/** What was seen to have gone against a rule, after the fact. Each is counted and logged; none is expected. */
public enum RuleViolation {
    /** Rule 1: a request was answered, or its end told, more than once. */
    ANSWERED_TWICE("answered_twice"),
    /** Rule 1: a final answer came later than half a second after the client's time was over. */
    ANSWERED_LATE("answered_late"),
    /** Rule 1: a client's connection was closed from this side while a request of it was owed its answer. */
    CLOSED_BEFORE_ANSWER("closed_owing"),
    /** Rule 1: a server was told of more time than its client had left, beyond the slack. */
    EXCESSIVE_TIMEOUT_SENT("told_too_much"),
    /** Rule 2: a refusal was ordered for a request that may have run; it was answered as failed. */
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
