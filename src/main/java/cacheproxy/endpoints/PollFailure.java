package cacheproxy.endpoints;

/** Why a poll ended without a usable response. */
public enum PollFailure {
    /** No connection, or an error status; a poll of another kind would have failed as well. */
    REJECTED,
    /** The connection was closed early or the response was unusable; a poll of another kind may succeed. */
    BROKEN
}
