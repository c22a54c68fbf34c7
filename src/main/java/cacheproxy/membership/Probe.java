package cacheproxy.membership;

/**
 * A pending probe: a member has been pinged, possibly several times, and has not answered yet. Times in milliseconds.
 */
final class Probe {
    /** Why a member is probed. */
    enum Purpose {
        /** The member is next in the current round. */
        ROUND,
        /** Another instance suspects the member. */
        CONFIRM_SUSPICION,
        /** The last probe before the member is declared dead. */
        BEFORE_DEATH,
        /** A peer has requested the probe because its own pings were not answered. */
        FOR_PEER,
        /** The member is absent or was never seen; the probe checks whether it is available again. */
        REJOIN
    }

    final int number;
    final int target;
    final Purpose purpose;
    /** The peer that requested the probe, and the number of that peer's probe. */
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
