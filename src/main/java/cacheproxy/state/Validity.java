package cacheproxy.state;

/** How far something that was kept may still be used. */
public enum Validity {
    /** It may be decided by, until something newer says otherwise. */
    VALID("holds"),
    /**
     * It may only make decisions more careful, or say whom to ask: a doubt, a name, the least that an epoch may be. It
     * never gives trust back.
     */
    HINT("hint"),
    /** It is too old, or its age can't be told. */
    UNUSABLE("nothing");

    private final String wireName;

    Validity(String wireName) {
        this.wireName = wireName;
    }

    /** Its name in reports and log events. */
    public String wireName() {
        return wireName;
    }
}
