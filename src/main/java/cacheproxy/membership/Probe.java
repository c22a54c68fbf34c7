package cacheproxy.membership;

/** An instance that has been asked whether it lives. */
final class Probe {
    /** Why it was asked. */
    enum Purpose {
        /** It is its turn. */
        ROUND,
        /** Somebody suspects it. */
        CONFIRM_SUSPICION,
        /** A last look before it is given up. */
        BEFORE_DEATH,
        /** Another asked for it. */
        FOR_PEER,
        /** It is gone, or was never heard of: whether it is back. */
        REJOIN
    }

    final int number;
    final int target;
    final Purpose purpose;
    /** For whom and by which number of theirs, where another asked. */
    final int requester;

    final int requesterNumber;
    final double startedMs;
    double nextMs;
    int pings;

    Probe(int number, int target, Purpose why, int asker, int askerNumber, double beganMs) {
        this.number = number;
        this.target = target;
        this.purpose = why;
        this.requester = asker;
        this.requesterNumber = askerNumber;
        this.startedMs = beganMs;
    }
}
