package cacheproxy.admission;

/**
 * The state of a request that was accepted.
 *
 * <pre>
 * OPEN      -> STREAMING            a streamed answer begins
 * OPEN      -> ANSWERED             the final answer is given
 * OPEN      -> CLIENT_DISCONNECTED  its client has disconnected
 * STREAMING -> ANSWERED             the streamed answer has ended, or was aborted
 * STREAMING -> CLIENT_DISCONNECTED  its client has disconnected
 * </pre>
 */
public enum RequestState {
    /** It has had no final answer yet. */
    OPEN("OPEN"),
    /** A streamed answer is being passed on; it is unanswered until that ends. */
    STREAMING("STREAMING"),
    /** It has had its final answer. */
    ANSWERED("ANSWERED"),
    /** Its client disconnected before it was answered; it gets no answer. */
    CLIENT_DISCONNECTED("CLIENT_GONE");

    private final String key;

    RequestState(String key) {
        this.key = key;
    }

    /** Its name in logs; it stays, whatever the constant is called. */
    public String key() {
        return key;
    }

    /** Whether it gets nothing more. */
    public boolean isFinal() {
        return this == ANSWERED || this == CLIENT_DISCONNECTED;
    }

    /** Whether this state may follow it. */
    public boolean canBecome(RequestState next) {
        return switch (this) {
            case OPEN -> next != OPEN;
            case STREAMING -> next.isFinal();
            case ANSWERED, CLIENT_DISCONNECTED -> false;
        };
    }
}
