package cacheproxy.emulator;

/**
 * A scheduled fault of one component of a fleet. Faults between components are {@link LinkFault}s.
 *
 * @param atMs start time, from the start of the run
 * @param target {@code node-3}, {@code node-*}, {@code origin}, {@code discovery}, {@code proxy-1}
 * @param forMs duration; 0 if the action has none
 * @param share share of responses that are corrupted, 0 to 1; 0 for other actions
 * @param state what happens to a killed proxy's state directory before its restart
 */
public record Fault(double atMs, String target, Action action, double forMs, double share, State state) {
    /** What happens to an instance's persisted state. */
    public enum State {
        /** It is left unchanged. */
        KEPT,
        /** All of it is deleted. */
        LOST,
        /** Each file is truncated at some position. */
        CUT_SHORT,
        /** One byte of each file is changed. */
        DAMAGED,
        /** It is reset to the copy taken when the faults began. */
        OLDER,
        /** It is replaced by another instance's state. */
        OTHER
    }

    /** A fault that leaves persisted state unchanged. */
    public Fault(double atMs, String target, Action action, double forMs, double share) {
        this(atMs, target, action, forMs, share, State.KEPT);
    }

    /** The kinds of fault and the components that each applies to. */
    public enum Action {
        /** Request processing stalls; sockets are still read and the queue fills. */
        STALL("node origin", true, false),
        /** The process is frozen: nothing is read, accepted or answered until it resumes. */
        FREEZE("node origin", true, false),
        /** All open connections are reset; new ones are accepted. */
        RESET("node origin", false, false),
        /** The machine stops responding; afterwards its connections are reset. */
        SILENCE("node origin", true, false),
        /** The process dies and stays down; the host list reflects it with a delay. */
        LEAVE("node", false, false),
        /** The host list marks it as draining. */
        DRAIN("node", false, false),
        /** The process dies and restarts after the duration with an empty cache and at cold capacity. */
        RESTART("node", true, false),
        /** A share of its responses is corrupted. */
        SPOIL("node", true, true),
        /** It keeps copies that writes have invalidated. */
        STALE("node", true, false),
        /** Discovery is unavailable. */
        DOWN("discovery", true, false),
        /** Discovery answers no watches, pending ones included. Requests for the whole list are answered. */
        WATCHES_SILENT("discovery", true, false),
        /** Some of discovery's responses are whole lists of older versions, as from a replica that lags. */
        OLDER_LISTS("discovery", true, false),
        /** Discovery loses its state and restarts the numbering of its list versions. */
        RENUMBER("discovery", false, false),
        /** A proxy is killed and restarted after the duration. */
        KILL("proxy", true, false),
        /** A proxy's process is paused, and resumes unaware of the time that has passed. */
        STOP("proxy", true, false),
        /** A proxy is told to terminate, and is restarted once it has. */
        TERM("proxy", false, false),
        /** A successor process takes over from a serving proxy, which is then told to terminate. */
        UPGRADE("proxy", false, false),
        /** A proxy is told to drain within the duration, and is restarted once it has exited. */
        RETIRE("proxy", true, false),
        /** A proxy's drain is cancelled. */
        RECALL("proxy", false, false),
        /** A proxy is told to reload its configuration. */
        HUP("proxy", false, false),
        /** A reload with changed settings: a class is added and fewer attempts are allowed, or the reverse. */
        RETUNE("proxy", false, false),
        /** A proxy is told to load a truncated configuration file. */
        MISFILE("proxy", false, false);

        private final String targets;
        private final boolean lasts;
        private final boolean shared;

        Action(String targets, boolean lasts, boolean shared) {
            this.targets = targets;
            this.lasts = lasts;
            this.shared = shared;
        }

        /** Whether it applies to that component. */
        public boolean fits(String target) {
            String kind = target.startsWith("node-") ? "node" : target.startsWith("proxy-") ? "proxy" : target;
            return (" " + targets + " ").contains(" " + kind + " ");
        }

        /** The kinds of component that it applies to. */
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
