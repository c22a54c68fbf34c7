package cacheproxy.recovery;

/** Where something that an instance works with came from. */
public enum Provenance {
    /** It has none. */
    NONE("none"),
    /** The configuration, of unknown age. */
    CONFIGURED("configured"),
    /** This instance's own state folder. */
    STORED("stored"),
    /** Peers, in answer to a state query. */
    PEERS("peers"),
    /** The process that this one took over from, which served until now. */
    PREDECESSOR("predecessor"),
    /** Discovery, or this process's own observation of the servers. */
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
