package damsonworks.fleet;

/**
 * One thing that goes wrong, when, and where.
 *
 * @param atMs   after the start
 * @param target {@code node-3}, {@code node-*}, {@code origin}, {@code discovery}, {@code proxy-1}
 * @param forMs  how long it lasts; 0 where the action has no length
 * @param share  of answers that come spoilt, 0 to 1; 0 for other actions
 */
public record Fault(double atMs, String target, Action action, double forMs, double share) {

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
        /** A proxy is killed and started again after this time. */
        KILL("proxy", true, false),
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

        boolean fits(String target) {
            String kind = target.startsWith("node-") ? "node" : target.startsWith("proxy-") ? "proxy" : target;
            return (" " + targets + " ").contains(" " + kind + " ");
        }

        String targets() {
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
