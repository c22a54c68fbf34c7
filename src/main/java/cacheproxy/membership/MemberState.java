package cacheproxy.membership;

/** The state of a member. Of two states in the same incarnation and process, the later constant takes precedence. */
public enum MemberState {
    /** The member answers probes, or no instance has found otherwise. */
    ALIVE(0),
    /** A probe of the member has failed. The member may still refute this by its next incarnation. */
    SUSPECT(1),
    /** The member was declared dead. Only its own next incarnation revives it. */
    DEAD(2),
    /** The member has announced that it leaves. */
    LEFT(3);

    private final int code;

    MemberState(int code) {
        this.code = code;
    }

    /** Returns the code on the wire, two bits. */
    int code() {
        return code;
    }

    /** Returns the state with this code, 0 to 3. */
    static MemberState of(int code) {
        return switch (code) {
            case 0 -> ALIVE;
            case 1 -> SUSPECT;
            case 2 -> DEAD;
            case 3 -> LEFT;
            default -> throw new IllegalArgumentException("member state code " + code + ", expected 0 to 3");
        };
    }

    /** Whether a member in this state counts as live. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
