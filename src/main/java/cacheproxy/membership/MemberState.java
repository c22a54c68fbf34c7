package cacheproxy.membership;

/** What is believed of an instance's life; of two beliefs in the same life and incarnation the later one here holds. */
public enum MemberState {
    /** It answers, or nobody has found otherwise. */
    ALIVE(0),
    /** Somebody did not reach it. It may still refute that, by its next incarnation. */
    SUSPECT(1),
    /** It has been given up. Only its own next incarnation brings it back. */
    DEAD(2),
    /** It has said that it leaves. */
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

    /** Whether it is to be counted among those that live. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
