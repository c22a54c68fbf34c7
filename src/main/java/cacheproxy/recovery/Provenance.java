package cacheproxy.recovery;

/** The source of the state that an instance uses. */
public enum Provenance {
    /** There is no such state. */
    NONE("none"),
    /** The configuration, whose age is unknown. */
    CONFIGURED("configured"),
    /** This instance's own state folder. */
    STORED("stored"),
    /** Peers that answered a state query. */
    PEERS("peers"),
    /** The process from which this one took over, and which served until then. */
    PREDECESSOR("predecessor"),
    /** Discovery, or this process's own observation of endpoints. */
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
