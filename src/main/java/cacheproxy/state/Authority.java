package cacheproxy.state;

/** Whose word a record is; what is told by a later one of the same or a higher authority takes its place. */
public enum Authority {
    /** What this instance has met itself. */
    SEEN,
    /** What it decided on with the fleet. */
    FLEET,
    /** What an operator ordered. */
    OPERATOR,
    /** What discovery told. */
    DISCOVERY,
    /** What it is, and nobody else knows better. */
    SELF
}
