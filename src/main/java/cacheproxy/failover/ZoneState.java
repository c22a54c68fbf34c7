package cacheproxy.failover;

/**
 * What is decided of one zone.
 *
 * @param epoch 0 for what nobody has ever decided, up to {@link #MOST_EPOCH}; whoever decides anew goes one beyond, so
 *     it never goes back
 * @param open for so many of {@link #WHOLE} parts of its keys, 0 to {@link #WHOLE}
 * @param cause on whose account
 * @param leaves how often it was left lately, 0 to {@link #MOST_LEAVES}; costs patience before a return
 */
public record ZoneState(int epoch, int open, Cause cause, int leaves) implements Comparable<ZoneState> {
    /** All keys. Fine enough that the misses of one part of a zone in four are some 2% of all requests. */
    public static final int WHOLE = 15;
    /** The highest epoch; a step every half second would take it 97 days without a pause to get there. */
    public static final int MOST_EPOCH = 0xff_ffff;
    /** As many leaves are remembered. */
    public static final int MOST_LEAVES = 3;
    /** What nobody has ever decided. */
    static final ZoneState UNTOUCHED = new ZoneState(0, WHOLE, Cause.EVIDENCE, 0);

    /** On whose account a state holds; the later of them is the stronger among decisions of one epoch. */
    public enum Cause {
        /** What the fleet sees. */
        EVIDENCE(0, "evidence"),
        /** An operator has it opened step by step; what is seen holds again when it is open. */
        RETURN(1, "return"),
        /** An operator has it kept as it is. */
        HOLD(2, "hold"),
        /** An operator has it left and kept so. */
        LEAVE(3, "leave");

        private final int code;
        private final String storedName;

        Cause(int code, String storedName) {
            this.code = code;
            this.storedName = storedName;
        }

        /** Its name in stored records, operators' answers and the log. */
        public String storedName() {
            return storedName;
        }

        /** The cause of that name; null if there is none. */
        public static Cause ofStoredName(String name) {
            for (Cause cause : values()) {
                if (cause.storedName.equals(name)) {
                    return cause;
                }
            }
            return null;
        }

        /** Its code on the wire, in two bits. */
        int code() {
            return code;
        }

        /** The one whose code stands in the lowest two bits. */
        static Cause of(int bits) {
            return switch (bits & 3) {
                case 0 -> EVIDENCE;
                case 1 -> RETURN;
                case 2 -> HOLD;
                default -> LEAVE;
            };
        }
    }

    /** Checks the ranges. */
    public ZoneState {
        if (epoch < 0 || epoch > MOST_EPOCH || open < 0 || open > WHOLE || leaves < 0 || leaves > MOST_LEAVES) {
            throw new IllegalArgumentException(
                    "epoch " + epoch + ", " + open + " parts open, left " + leaves + " times");
        }
    }

    /** The open part, 0 to 1. */
    public double share() {
        return (double) open / WHOLE;
    }

    /** The next decision. At the highest epoch nothing more is decided, rather than beginning anew. */
    public ZoneState next(int parts, Cause by, int lately) {
        return epoch == MOST_EPOCH ? this : new ZoneState(epoch + 1, parts, by, Math.min(MOST_LEAVES, lately));
    }

    /** The same beyond an epoch that is known to have been there. */
    ZoneState beyond(int floor) {
        return epoch > floor ? this : new ZoneState(Math.min(MOST_EPOCH, floor + 1), open, cause, leaves);
    }

    /**
     * Which of two holds: the higher epoch; in one epoch an operator's word over what is seen, then the wider open, so
     * that two who decide at once leave no more than either would; then the longer memory.
     */
    @Override
    public int compareTo(ZoneState other) {
        int by = Integer.compare(epoch, other.epoch);
        by = by != 0 ? by : cause.compareTo(other.cause);
        by = by != 0 ? by : Integer.compare(open, other.open);
        return by != 0 ? by : Integer.compare(leaves, other.leaves);
    }

    int bits() {
        return epoch << 8 | open << 4 | leaves << 2 | cause.code();
    }

    static ZoneState of(int bits) {
        return new ZoneState(bits >>> 8, bits >>> 4 & 15, Cause.of(bits), bits >>> 2 & 3);
    }
}
