package cacheproxy.admission;

import java.util.Locale;

/**
 * Whether an act is allowed now, or the condition that forbids it. The four rules are those of the operators' protocol
 * page and of the wire page's "Lines not to cross".
 */
public enum Verdict {
    /** Nothing speaks against it. */
    ALLOWED,
    /** Rule 1: a request has one final answer, and nothing is sent for it after that. */
    REQUEST_ANSWERED,
    /** Rule 1: nothing is sent for a request whose client has left. */
    CLIENT_GONE,
    /** Rule 1: a server is told of no more time than the client has left; here none is left. */
    NO_TIME_LEFT,
    /** Settings: a request is tried no more often than {@code caps.max-attempts}. */
    ATTEMPTS_SPENT,
    /** Rule 3: nothing new goes to a server that drains, or that the list no longer holds. */
    SERVER_NOT_READY,
    /** Rule 2: an unsafe request that may have run is neither repeated nor refused. */
    MAY_HAVE_RUN,
    /** Rule 2: a keyed request that may have run is repeated in its group of servers alone. */
    OTHER_GROUP,
    /** Rule 2: a keyed request that may have run is repeated within its window alone. */
    WINDOW_OVER,
    /** Rule 2: where the settings forbid second copies, one attempt is out at a time. */
    SECOND_COPY;

    /** Whether it may be done. */
    public boolean allowed() {
        return this == ALLOWED;
    }

    /** Its name in logs and figures. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }
}
