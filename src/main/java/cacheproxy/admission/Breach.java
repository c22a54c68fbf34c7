package cacheproxy.admission;

import java.util.Locale;

/** What was seen to have gone against a rule, after the fact. Each is counted and logged; none is expected. */
public enum Breach {
    /** Rule 1: a request was answered, or its end told, more than once. */
    ANSWERED_TWICE,
    /** Rule 1: a final answer came later than half a second after the client's time was over. */
    ANSWERED_LATE,
    /** Rule 1: a client's connection was closed from this side while a request of it was owed its answer. */
    CLOSED_OWING,
    /** Rule 1: a server was told of more time than its client had left, beyond the slack. */
    TOLD_TOO_MUCH,
    /** Rule 2: a refusal was ordered for a request that may have run; it was answered as failed. */
    REFUSED_THOUGH_IT_MAY_HAVE_RUN;

    /** Its name in logs and figures. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }
}
