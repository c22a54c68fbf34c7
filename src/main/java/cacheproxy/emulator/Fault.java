package cacheproxy.emulator;

/**
 * One thing that goes wrong in one part of a fleet, when, and where. What goes wrong between two is a
 * {@link LinkFault}.
 *
 * @param atMs after the start
 * @param target {@code node-3}, {@code node-*}, {@code origin}, {@code discovery}, {@code proxy-1}
 * @param forMs how long it lasts; 0 where the action has no length
 * @param share of answers that come spoilt, 0 to 1; 0 for other actions
 * @param state what becomes of a killed proxy's folder of state until it is started again
 */
public record Fault(double atMs, String target, Action action, double forMs, double share, State state) {
    /** What becomes of what an instance keeps beyond its life. */
    public enum State {
        /** Nothing. */
        KEPT,
        /** All of it is gone. */
        LOST,
        /** Each file is cut off somewhere. */
        CUT_SHORT,
        /** One byte of each file is another. */
        DAMAGED,
        /** It is what it was when the faults began. */
        OLDER,
        /** It is what another instance has kept. */
        OTHER
    }

    /** One that leaves what instances keep alone. */
    public Fault(double atMs, String target, Action action, double forMs, double share) {
        this(atMs, target, action, forMs, share, State.KEPT);
    }

    /** What can go wrong, and with what. */
    public enum Action {
        /** The core stands still; sockets are read, the queue fills. */
        STALL("node origin", true, false),
        /** The process stands still: nothing is read, accepted or answered until it goes on. */
        FREEZE("node origin", true, false),
        /** All open connections end with a reset; new ones come up. */
        RESET("node origin", false, false),
        /** The machine says nothing more; afterwards its connections are reset. */
        SILENCE("node origin", true, false),
        /** The process dies and stays away; the roster sees it late. */
        LEAVE("node", false, false),
        /** The roster says that it drains. */
        DRAIN("node", false, false),
        /** The process dies and comes back after this time with an empty cache, cold. */
        RESTART("node", true, false),
        /** A share of its answers comes spoilt. */
        SPOIL("node", true, true),
        /** It keeps copies that writes have voided. */
        STALE("node", true, false),
        /** Discovery answers nothing. */
        DOWN("discovery", true, false),
        /** Discovery answers no watch; what waits gets no answer either. Calls for the whole list are answered. */
        WATCHES_SILENT("discovery", true, false),
        /** Some of discovery's answers are whole lists of older versions, as of a replica that is behind. */
        OLDER_LISTS("discovery", true, false),
        /** Discovery has lost its memory and numbers its lists from the beginning. */
        RENUMBER("discovery", false, false),
        /** A proxy is killed and started again after this time. */
        KILL("proxy", true, false),
        /** A proxy's process stands still, and then believes that it is still then. */
        STOP("proxy", true, false),
        /** A proxy is told to end and started again when it has. */
        TERM("proxy", false, false),
        /** A new process takes over from a proxy that serves, which is then told to end. */
        UPGRADE("proxy", false, false),
        /** A proxy is asked to drain within this time, and started again when it has ended. */
        RETIRE("proxy", true, false),
        /** A proxy's drain is taken back. */
        RECALL("proxy", false, false),
        /** A proxy is told to read its configuration again. */
        HUP("proxy", false, false),
        /** The same with other settings: a class appears and fewer attempts are allowed, or the other way round. */
        RETUNE("proxy", false, false),
        /** A proxy is told to read a file that is cut off. */
        MISFILE("proxy", false, false);

        private final String targets;
        private final boolean lasts;
        private final boolean shared;

        Action(String targets, boolean lasts, boolean shared) {
            this.targets = targets;
            this.lasts = lasts;
            this.shared = shared;
        }

        /** Whether it can happen to that part. */
        public boolean fits(String target) {
            String kind = target.startsWith("node-") ? "node" : target.startsWith("proxy-") ? "proxy" : target;
            return (" " + targets + " ").contains(" " + kind + " ");
        }

        /** The kinds of part that it can happen to. */
        public String targets() {
            return targets;
        }

        boolean lasts() {
            return lasts;
        }

        boolean shared() {
            return shared;
        }
    }
}
