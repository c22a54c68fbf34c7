package cacheproxy.membership;

/** The state of a member; of two states in the same incarnation and process the later one here holds. */
public enum MemberState {
    /** It answers probes, or nobody has found otherwise. */
    ALIVE(0),
    /** A probe of it has failed. It may still refute that, by its next incarnation. */
    SUSPECT(1),
    /** It was declared dead. Only its own next incarnation revives it. */
    DEAD(2),
    /** It has announced that it leaves. */
    LEFT(3);

    private final int code;

    MemberState(int code) {
        this.code = code;
    }

    /** Its code on the wire, in two bits. */
    int code() {
        return code;
    }

    /** The state of that code, 0 to 3. */
    static MemberState of(int code) {
        return switch (code) {
            case 0 -> ALIVE;
            case 1 -> SUSPECT;
            case 2 -> DEAD;
            case 3 -> LEFT;
            default -> throw new IllegalArgumentException("state " + code + ", expected 0 to 3");
        };
    }

    /** Whether it counts among the live members. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
