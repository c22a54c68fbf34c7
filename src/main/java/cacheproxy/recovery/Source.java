package cacheproxy.recovery;

/** Where something that an instance works with came from. */
public enum Source {
    /** It has none. */
    NONE,
    /** The configuration, as of no time that is known. */
    CONFIGURED,
    /** This instance's own folder. */
    STORED,
    /** Peers. */
    PEERS,
    /** The process before, which served until now. */
    PREDECESSOR,
    /** Discovery, or what was met at the servers themselves. */
    FIRST_HAND
}
