package cacheproxy.admission;

/**
 * The state of an accepted request.
 *
 * <pre>
 * OPEN      -> STREAMING            a streamed response begins
 * OPEN      -> ANSWERED             the final response is sent
 * OPEN      -> CLIENT_DISCONNECTED  the client disconnects
 * STREAMING -> ANSWERED             the streamed response ends or is aborted
 * STREAMING -> CLIENT_DISCONNECTED  the client disconnects
 * </pre>
 */
public enum RequestState {
    /** No final response has been sent yet. */
    OPEN("OPEN"),
    /** A streamed response is being forwarded; the request counts as unanswered until the stream ends. */
    STREAMING("STREAMING"),
    /** The final response has been sent. */
    ANSWERED("ANSWERED"),
    /** The client disconnected before the final response; no response is sent. */
    CLIENT_DISCONNECTED("CLIENT_GONE");

    private final String key;

    RequestState(String key) {
        this.key = key;
    }

    /** The name in logs. It is stable, whatever the constant's name. */
    public String key() {
        return key;
    }

    /** Whether nothing more may be sent for the request. */
    public boolean isFinal() {
        return this == ANSWERED || this == CLIENT_DISCONNECTED;
    }

    /** Whether a transition from this state to {@code next} is valid. */
    public boolean canBecome(RequestState next) {
        return switch (this) {
            case OPEN -> next != OPEN;
            case STREAMING -> next.isFinal();
            case ANSWERED, CLIENT_DISCONNECTED -> false;
        };
    }
}
