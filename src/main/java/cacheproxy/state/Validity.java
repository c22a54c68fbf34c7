package cacheproxy.state;

/** How far a stored record may be used at its present age. */
public enum Validity {
    /** Decisions may rest on it until something newer contradicts it. */
    VALID("holds"),
    /**
     * It may only make decisions more careful or name whom to ask: a suspected endpoint, an address, a lower bound of
     * an epoch. It never makes anything trusted again. One exception: the endpoint list is the one to start with as
     * long as it is a hint, until discovery answers ({@link RecordKind#ENDPOINT_LIST}).
     */
    HINT("hint"),
    /** It is too old, or its age is unknown. */
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
