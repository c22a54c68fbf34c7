package cacheproxy.membership;

/**
 * A probe under way: a member has been pinged, perhaps several times, and has not answered yet. Times in milliseconds.
 */
final class Probe {
    /** Why a member is probed. */
    enum Purpose {
        /** It is its turn. */
        ROUND,
        /** Another suspects it. */
        CONFIRM_SUSPICION,
        /** Before it is declared dead. */
        BEFORE_DEATH,
        /** A peer has asked for it, as its own pings weren't answered. */
        FOR_PEER,
        /** It is gone or was never heard of: whether it is there again. */
        REJOIN
    }

    final int number;
    final int target;
    final Purpose purpose;
    /** The peer that has asked for it, and the number of that peer's probe. */
    final int requester;

    final int requesterNumber;
    final double startedMs;
    /** When the next ping is due, or the probe has failed. */
    double nextMs;

    int pings;

    Probe(int number, int target, Purpose purpose, int requester, int requesterNumber, double startedMs) {
        this.number = number;
        this.target = target;
        this.purpose = purpose;
        this.requester = requester;
        this.requesterNumber = requesterNumber;
        this.startedMs = startedMs;
    }
}
