package cacheproxy.takeover;

/**
 * The serving process's side of a takeover. It accepts connections until a successor reports that it serves, and again
 * if that successor goes before this process is told to terminate: at every moment some process accepts. Pure; all
 * calls come from the event loop.
 */
public final class HandoverStateMachine {
    /** How far the handover has come. */
    public enum Phase {
        /** No successor has connected. */
        NO_SUCCESSOR("alone"),
        /** One has asked for the snapshot and was sent it. */
        SNAPSHOT_SENT("offered"),
        /** It was sent the listening socket and does not serve yet. */
        SOCKET_PASSED("taken"),
        /** It serves; this process accepts no connections any more. */
        SUCCESSOR_SERVES("served"),
        /** This process is to terminate and passes its idle clients to the successor. */
        PASSING_CLIENTS("retiring"),
        /** This process is to terminate and has no successor. */
        TERMINATING("ending");

        private final String statusName;

        Phase(String statusName) {
            this.statusName = statusName;
        }

        /** The word for it in operators' status and in the answer to {@code handover}. */
        public String statusName() {
            return statusName;
        }
    }

    private Phase phase = Phase.NO_SUCCESSOR;
    private long successorLink;
    private int completedHandovers;

    /** The current phase. */
    public Phase phase() {
        return phase;
    }

    /** How many successors have come to serve since the start. */
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
     * A process requests the snapshot. It displaces one that requested before and does not serve yet, which may hang.
     *
     * @param link the unique number of its connection, above 0
     * @return whether it is sent the snapshot; if not, its connection is to be closed
     */
    public boolean snapshotRequested(long link) {
        if (phase.compareTo(Phase.SUCCESSOR_SERVES) >= 0) {
            return false;
        }
        successorLink = link;
        phase = Phase.SNAPSHOT_SENT;
        return true;
    }

    /** A process requests the listening socket; whether it is sent it. */
    public boolean socketRequested(long link) {
        if (link != successorLink || phase != Phase.SNAPSHOT_SENT) {
            return false;
        }
        phase = Phase.SOCKET_PASSED;
        return true;
    }

    /** A process reports that it serves; whether it may: only the one that was sent the socket. */
    public boolean successorServes(long link) {
        if (link != successorLink || phase != Phase.SOCKET_PASSED) {
            return false;
        }
        phase = Phase.SUCCESSOR_SERVES;
        completedHandovers++;
        return true;
    }

    /**
     * A connection has closed. Returns whether it was that of a serving successor, so that this process has to take the
     * takeover socket's name back.
     */
    public boolean connectionClosed(long link) {
        if (link != successorLink) {
            return false;
        }
        boolean served = phase == Phase.SUCCESSOR_SERVES;
        successorLink = 0;
        phase = phase == Phase.PASSING_CLIENTS
                ? Phase.TERMINATING
                : phase == Phase.TERMINATING ? phase : Phase.NO_SUCCESSOR;
        return served;
    }

    /** This process is to terminate (SIGTERM). A successor that does not serve yet gets nothing further. */
    public void terminationRequested() {
        if (phase == Phase.SUCCESSOR_SERVES) {
            phase = Phase.PASSING_CLIENTS;
        } else if (phase != Phase.PASSING_CLIENTS) {
            phase = Phase.TERMINATING;
        }
    }
}
