package cacheproxy.takeover;

/**
 * The starting process's side of a takeover. Whatever fails, the process ends up serving: at the old process's
 * listening socket if it arrives in time, otherwise at a second socket of its own. Times are milliseconds of one
 * monotonic clock.
 */
public final class TakeoverStateMachine {
    /** The timeout of each response, in milliseconds; allows for an old process that runs on a fraction of a core. */
    public static final double ANSWER_TIMEOUT_MS = 1500;

    /** The phase of the takeover. */
    public enum Phase {
        /** The snapshot has been requested. */
        AWAITING_SNAPSHOT,
        /** The snapshot has been received and the listening socket has been requested. */
        AWAITING_SOCKET,
        /** This process serves at the old process's socket and accepts the clients passed by it. */
        TAKEN_OVER,
        /** This process serves at its own socket. */
        INDEPENDENT
    }

    private Phase phase = Phase.AWAITING_SNAPSHOT;
    private double requestedMs;

    /** Creates the state machine when the snapshot is requested. */
    public TakeoverStateMachine(double now) {
        requestedMs = now;
    }

    /** Returns the current phase. */
    public Phase phase() {
        return phase;
    }

    /** Handles a received snapshot; returns whether to request the socket. An unreadable one ends the takeover. */
    public boolean snapshotReceived(double now, boolean readable) {
        if (phase != Phase.AWAITING_SNAPSHOT) {
            return false;
        }
        phase = readable ? Phase.AWAITING_SOCKET : Phase.INDEPENDENT;
        requestedMs = now;
        return readable;
    }

    /** Handles a received descriptor; returns whether it is the listening socket, which is sent first. */
    public boolean descriptorReceived() {
        if (phase != Phase.AWAITING_SOCKET) {
            return false;
        }
        phase = Phase.TAKEN_OVER;
        return true;
    }

    /** Handles that the connection has closed or could not be established. */
    public void connectionClosed() {
        if (phase != Phase.TAKEN_OVER) {
            phase = Phase.INDEPENDENT;
        }
    }

    /** Returns whether the response is overdue at this time; if so, this process serves independently. */
    public boolean checkTimeout(double now) {
        if ((phase == Phase.AWAITING_SNAPSHOT || phase == Phase.AWAITING_SOCKET)
                && now - requestedMs >= ANSWER_TIMEOUT_MS) {
            phase = Phase.INDEPENDENT;
            return true;
        }
        return false;
    }
}
