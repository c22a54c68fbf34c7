package cacheproxy.takeover;

/**
 * The starting process's side of a takeover. Whatever fails on the way, the process comes to serve: at the old
 * process's listening socket if that arrives in time, else at a socket of its own beside it. Times are milliseconds of
 * one monotonic clock.
 */
public final class TakeoverStateMachine {
    /** Timeout of each answer, in milliseconds: the old process may run on a small part of a core. */
    public static final double ANSWER_TIMEOUT_MS = 1500;

    /** How far the takeover has come. */
    public enum Phase {
        /** The snapshot has been requested. */
        AWAITING_SNAPSHOT,
        /** It has been received, and the listening socket has been requested. */
        AWAITING_SOCKET,
        /** This process serves at the old one's socket and accepts the clients that it is passed. */
        TAKEN_OVER,
        /** This process serves at a socket of its own. */
        INDEPENDENT
    }

    private Phase phase = Phase.AWAITING_SNAPSHOT;
    private double requestedMs;

    /** The snapshot is requested at this time. */
    public TakeoverStateMachine(double now) {
        requestedMs = now;
    }

    /** The current phase. */
    public Phase phase() {
        return phase;
    }

    /** A snapshot has been received; whether the socket is to be requested. An unreadable one counts as none. */
    public boolean snapshotReceived(double now, boolean readable) {
        if (phase != Phase.AWAITING_SNAPSHOT) {
            return false;
        }
        phase = readable ? Phase.AWAITING_SOCKET : Phase.INDEPENDENT;
        requestedMs = now;
        return readable;
    }

    /** A descriptor has been received; whether it is the listening socket, as the first one is. */
    public boolean descriptorReceived() {
        if (phase != Phase.AWAITING_SOCKET) {
            return false;
        }
        phase = Phase.TAKEN_OVER;
        return true;
    }

    /** The connection has closed, or could not be made. */
    public void connectionClosed() {
        if (phase != Phase.TAKEN_OVER) {
            phase = Phase.INDEPENDENT;
        }
    }

    /** Whether the answer is overdue at this time; this process then serves independently. */
    public boolean checkTimeout(double now) {
        if ((phase == Phase.AWAITING_SNAPSHOT || phase == Phase.AWAITING_SOCKET)
                && now - requestedMs >= ANSWER_TIMEOUT_MS) {
            phase = Phase.INDEPENDENT;
            return true;
        }
        return false;
    }
}
