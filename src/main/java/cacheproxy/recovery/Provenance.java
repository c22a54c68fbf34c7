package cacheproxy.recovery;

/** Where something that an instance works with came from. */
public enum Provenance {
    /** It has none. */
    NONE("none"),
    /** The configuration, as of no time that is known. */
    CONFIGURED("configured"),
    /** This instance's own folder. */
    STORED("stored"),
    /** Peers. */
    PEERS("peers"),
    /** The process before, which served until now. */
    PREDECESSOR("predecessor"),
    /** Discovery, or what was met at the servers themselves. */
    FIRST_HAND("first hand");

    private final String wireName;

    Provenance(String wireName) {
        this.wireName = wireName;
    }

    /** Its name in status answers. */
    public String wireName() {
        return wireName;
    }
}
