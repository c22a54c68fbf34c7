package cacheproxy.membership;

/** An instance that has been asked whether it lives. */
final class Probe {
    /** Why it was asked. */
    enum Purpose {
        /** It is its turn. */
        ROUND,
        /** Somebody suspects it. */
        CONFIRM,
        /** A last look before it is given up. */
        LAST,
        /** Another asked for it. */
        HELP,
        /** It is gone, or was never heard of: whether it is back. */
        RETURN
    }

    final int number;
    final int target;
    final Purpose why;
    /** For whom and by which number of theirs, where another asked. */
    final int asker;

    final int askerNumber;
    final double beganMs;
    double nextMs;
    int asked;

    Probe(int number, int target, Purpose why, int asker, int askerNumber, double beganMs) {
        this.number = number;
        this.target = target;
        this.why = why;
        this.asker = asker;
        this.askerNumber = askerNumber;
        this.beganMs = beganMs;
    }
}
