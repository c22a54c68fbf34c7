package cacheproxy.membership;

/** What is believed of an instance's life; of two beliefs in the same life and incarnation the later one here holds. */
public enum State {
    /** It answers, or nobody has found otherwise. */
    ALIVE,
    /** Somebody did not reach it. It may still refute that, by its next incarnation. */
    SUSPECT,
    /** It has been given up. Only its own next incarnation brings it back. */
    DEAD,
    /** It has said that it leaves. */
    LEFT;

    /** Whether it is to be counted among those that live. */
    public boolean lives() {
        return this == ALIVE || this == SUSPECT;
    }
}
