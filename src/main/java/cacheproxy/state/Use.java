package cacheproxy.state;

/** How far something that was kept may still be used. */
public enum Use {
    /** It may be decided by, until something newer says otherwise. */
    HOLDS,
    /**
     * It may only make decisions more careful, or say whom to ask: a doubt, a name, the least that an epoch may be. It
     * never gives trust back.
     */
    HINT,
    /** It is too old, or its age can't be told. */
    NOTHING
}
