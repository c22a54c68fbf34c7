package cacheproxy.takeover;

/**
 * The side of the process that starts. Whatever goes wrong on the way, it comes to serve: with the old process's socket
 * if it gets it in time, else with one of its own beside it.
 */
public final class Takeover {
    /** How long the old process may take for each answer, in milliseconds; it may have a small part of a core. */
    public static final double PATIENCE_MS = 1500;

    /** How far it has come. */
    public enum Phase {
        /** The state has been asked for. */
        ASKED,
        /** It has come, and the listening socket has been asked for. */
        WANTED,
        /** This process serves at the old one's socket, and takes the clients that it is passed. */
        SERVING,
        /** This process serves at a socket of its own. */
        ALONE
    }

    private Phase phase = Phase.ASKED;
    private double sinceMs;

    /** Has asked for the state at this time. */
    public Takeover(double now) {
        sinceMs = now;
    }

    /** Where it stands. */
    public Phase phase() {
        return phase;
    }

    /** The state has come; whether the socket is to be asked for. A state that can't be read is none. */
    public boolean told(double now, boolean readable) {
        if (phase != Phase.ASKED) {
            return false;
        }
        phase = readable ? Phase.WANTED : Phase.ALONE;
        sinceMs = now;
        return readable;
    }

    /** The first descriptor has come; whether it is the listening socket and to be used. */
    public boolean got() {
        if (phase != Phase.WANTED) {
            return false;
        }
        phase = Phase.SERVING;
        return true;
    }

    /** The link has ended, or could not be made. */
    public void lost() {
        if (phase != Phase.SERVING) {
            phase = Phase.ALONE;
        }
    }

    /** Time has passed; whether this process has waited long enough and goes on by itself. */
    public boolean overdue(double now) {
        if ((phase == Phase.ASKED || phase == Phase.WANTED) && now - sinceMs >= PATIENCE_MS) {
            phase = Phase.ALONE;
            return true;
        }
        return false;
    }
}
