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
    /** Its one final answer is owed. */
    OPEN("OPEN"),
    /** A streamed answer is being passed on; its end is owed. */
    STREAMING("STREAMING"),
    /** It has had its final answer. */
    ANSWERED("ANSWERED"),
    /** Its client disconnected before it was answered; nothing is owed. */
    CLIENT_DISCONNECTED("CLIENT_GONE");

    private final String key;

    RequestState(String key) {
        this.key = key;
    }

    /** Its name in logs; it stays, whatever the constant is called. */
    public String key() {
        return key;
    }

    /** Whether nothing is owed any more. */
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
