package cacheproxy.endpoints;

/** Why a poll ended without a response that can be used. */
public enum PollFailure {
    /** No connection, or an error status: a poll of any other kind would have failed as well. */
    REJECTED,
    /** The connection ended early, or the response can't be used: a poll of another kind may succeed. */
    BROKEN
}
