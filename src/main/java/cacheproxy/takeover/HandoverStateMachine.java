package cacheproxy.takeover;

/**
 * The serving process's side of a takeover. The process accepts connections until a successor reports that it is
 * serving, and accepts them again if that successor disconnects before this process is told to terminate, so that some
 * process accepts connections at every moment. Pure; all calls come from the event loop.
 */
public final class HandoverStateMachine {
    /** The phase of the handover. */
    public enum Phase {
        /** No successor has connected. */
        NO_SUCCESSOR("alone"),
        /** A successor has requested the snapshot and was sent it. */
        SNAPSHOT_SENT("offered"),
        /** The successor was sent the listening socket and is not serving yet. */
        SOCKET_PASSED("taken"),
        /** The successor is serving; this process no longer accepts connections. */
        SUCCESSOR_SERVES("served"),
        /** This process is terminating and passes its idle clients to the successor. */
        PASSING_CLIENTS("retiring"),
        /** This process is terminating without a successor. */
        TERMINATING("ending");

        private final String statusName;

        Phase(String statusName) {
            this.statusName = statusName;
        }

        /** The name in the operators' status output and in the response to {@code handover}. */
        public String statusName() {
            return statusName;
        }
    }

    private Phase phase = Phase.NO_SUCCESSOR;
    private long successorConnection;
    private int completedHandovers;

    /** Returns the current phase. */
    public Phase phase() {
        return phase;
    }

    /** Returns how many successors have reported that they serve since this process started. */
    public int completedHandovers() {
        return completedHandovers;
    }

    /** Whether this process accepts connections at the shared socket. */
    public boolean acceptsConnections() {
        return phase.compareTo(Phase.SUCCESSOR_SERVES) < 0 || phase == Phase.TERMINATING;
    }

    /** Whether idle clients are passed to the successor. */
    public boolean passesClients() {
        return phase == Phase.PASSING_CLIENTS;
    }

    /**
     * Handles a process's request for the snapshot, which it may make once. The process replaces an earlier one that is
     * not serving yet, because that one may hang.
     *
     * @param connection the unique number of its connection, above 0
     * @return whether to send the snapshot; if not, the connection must be closed
     */
    public boolean snapshotRequested(long connection) {
        if (phase.compareTo(Phase.SUCCESSOR_SERVES) >= 0 || connection == successorConnection) {
            return false;
        }
        successorConnection = connection;
        phase = Phase.SNAPSHOT_SENT;
        return true;
    }

    /** Handles a process's request for the listening socket; returns whether to send it. */
    public boolean socketRequested(long connection) {
        if (connection != successorConnection || phase != Phase.SNAPSHOT_SENT) {
            return false;
        }
        phase = Phase.SOCKET_PASSED;
        return true;
    }

    /** Handles a process's report that it serves; returns false unless this process was sent the socket. */
    public boolean successorServes(long connection) {
        if (connection != successorConnection || phase != Phase.SOCKET_PASSED) {
            return false;
        }
        phase = Phase.SUCCESSOR_SERVES;
        completedHandovers++;
        return true;
    }

    /**
     * Handles the close of a connection. Returns whether it belonged to a serving successor, in which case this process
     * must reclaim the name of the takeover socket.
     */
    public boolean connectionClosed(long connection) {
        if (connection != successorConnection) {
            return false;
        }
        boolean served = phase == Phase.SUCCESSOR_SERVES;
        successorConnection = 0;
        phase = phase == Phase.PASSING_CLIENTS
                ? Phase.TERMINATING
                : phase == Phase.TERMINATING ? phase : Phase.NO_SUCCESSOR;
        return served;
    }

    /** Handles SIGTERM. A successor that is not serving yet is sent nothing further. */
    public void terminationRequested() {
        if (phase == Phase.SUCCESSOR_SERVES) {
            phase = Phase.PASSING_CLIENTS;
        } else if (phase != Phase.PASSING_CLIENTS) {
            phase = Phase.TERMINATING;
        }
    }
}
