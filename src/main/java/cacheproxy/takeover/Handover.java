package cacheproxy.takeover;

/**
 * The side of the process that serves. It accepts clients until a successor says that it serves, and again if that one
 * goes before this process was told to end: at no moment is there nobody who accepts.
 */
public final class Handover {
    /** How far it has come. */
    public enum Phase {
        /** No successor. */
        ALONE("alone"),
        /** One has asked, and knows the state. */
        OFFERED("offered"),
        /** It has the listening socket and does not serve yet. */
        TAKEN("taken"),
        /** It serves; no client is accepted here any more. */
        SERVED("served"),
        /** This process has been told to end and passes its clients on. */
        RETIRING("retiring"),
        /** It has been told to end, and there is nobody to pass clients on to. */
        ENDING("ending");

        private final String statusName;

        Phase(String statusName) {
            this.statusName = statusName;
        }

        /** The word for it in operators' status and in the answer to {@code handover}. */
        public String statusName() {
            return statusName;
        }
    }

    private Phase phase = Phase.ALONE;
    private long successor;
    private int taken;

    /** Where it stands. */
    public Phase phase() {
        return phase;
    }

    /** How often a successor has come to serve. */
    public int taken() {
        return taken;
    }

    /** Whether this process accepts clients at the shared socket. */
    public boolean accepts() {
        return phase.compareTo(Phase.SERVED) < 0 || phase == Phase.ENDING;
    }

    /** Whether clients that are idle go over to the successor. */
    public boolean passes() {
        return phase == Phase.RETIRING;
    }

    /**
     * A process asks for the state. One that asked before and does not serve yet must not block it: it may hang, and
     * the newer is what operators want.
     *
     * @param link a number that this link alone has, over 0
     * @return whether it is given the state; if not, its link is to be closed
     */
    public boolean asked(long link) {
        if (phase.compareTo(Phase.SERVED) >= 0) {
            return false;
        }
        successor = link;
        phase = Phase.OFFERED;
        return true;
    }

    /** A process wants the listening socket; whether it is given it. */
    public boolean wanted(long link) {
        if (link != successor || phase != Phase.OFFERED) {
            return false;
        }
        phase = Phase.TAKEN;
        return true;
    }

    /** A process says that it serves; whether that is believed. Only who has the socket can. */
    public boolean serves(long link) {
        if (link != successor || phase != Phase.TAKEN) {
            return false;
        }
        phase = Phase.SERVED;
        taken++;
        return true;
    }

    /**
     * A link has ended, with its process or without; whether it was a successor's that served, so that this process is
     * the one to be asked again.
     */
    public boolean lost(long link) {
        if (link != successor) {
            return false;
        }
        boolean served = phase == Phase.SERVED;
        successor = 0;
        phase = phase == Phase.RETIRING ? Phase.ENDING : phase == Phase.ENDING ? phase : Phase.ALONE;
        return served;
    }

    /** This process has been told to end. One that does not serve yet is left to itself. */
    public void terminated() {
        if (phase == Phase.SERVED) {
            phase = Phase.RETIRING;
        } else if (phase != Phase.RETIRING) {
            phase = Phase.ENDING;
        }
    }
}
