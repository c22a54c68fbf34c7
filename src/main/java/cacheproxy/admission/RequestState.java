package cacheproxy.admission;

/**
 * What has become of a request that has been taken.
 *
 * <pre>
 * OPEN      -> STREAMING    a long answer begins
 * OPEN      -> ANSWERED     the final answer is given
 * OPEN      -> CLIENT_GONE  its client has left
 * STREAMING -> ANSWERED     the long answer has ended, or has been broken off
 * STREAMING -> CLIENT_GONE  its client has left
 * </pre>
 */
public enum RequestState {
    /** It is owed its one final answer. */
    OPEN("OPEN"),
    /** A long answer is being passed on; the request is owed its end. */
    STREAMING("STREAMING"),
    /** It has had its final answer. */
    ANSWERED("ANSWERED"),
    /** Its client left before it was answered; nothing is owed. */
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

    /** Whether it may become this next. */
    public boolean canBecome(RequestState next) {
        return switch (this) {
            case OPEN -> next != OPEN;
            case STREAMING -> next.isFinal();
            case ANSWERED, CLIENT_DISCONNECTED -> false;
        };
    }
}
