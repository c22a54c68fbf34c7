package cacheproxy.state;

/** How a stored record may be used at its present age. */
public enum Validity {
    /** Decisions may rely on it until newer information contradicts it. */
    VALID("holds"),
    /**
     * It may only make decisions more cautious or name whom to ask: a suspected endpoint, an address, a lower bound of
     * an epoch. It never makes anything trusted again. The one exception is the endpoint list: a process starts with it
     * as long as it is a hint, until discovery answers ({@link RecordKind#ENDPOINT_LIST}).
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
