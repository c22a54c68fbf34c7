package cacheproxy.failover;

/**
 * What is decided of one zone.
 *
 * @param epoch 0 for what nobody has ever decided, up to {@link #MAX_EPOCH}; whoever decides anew goes one beyond, so
 *     it never goes back
 * @param openParts for so many of {@link #ALL_PARTS} parts of its keys, 0 to {@link #ALL_PARTS}
 * @param cause on whose account
 * @param leaveCount how often it was left lately, 0 to {@link #MAX_LEAVE_COUNT}; costs patience before a return
 */
public record ZoneState(int epoch, int openParts, Cause cause, int leaveCount) implements Comparable<ZoneState> {
    /** All keys. Fine enough that the misses of one part of a zone in four are some 2% of all requests. */
    public static final int ALL_PARTS = 15;
    /** The highest epoch; a step every half second would take it 97 days without a pause to get there. */
    public static final int MAX_EPOCH = 0xff_ffff;
    /** As many leaves are remembered. */
    public static final int MAX_LEAVE_COUNT = 3;
    /** What nobody has ever decided. */
    static final ZoneState INITIAL = new ZoneState(0, ALL_PARTS, Cause.EVIDENCE, 0);

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
        if (epoch < 0
                || epoch > MAX_EPOCH
                || openParts < 0
                || openParts > ALL_PARTS
                || leaveCount < 0
                || leaveCount > MAX_LEAVE_COUNT) {
            throw new IllegalArgumentException(
                    "epoch " + epoch + ", " + openParts + " parts open, left " + leaveCount + " times");
        }
    }

    /** The open part, 0 to 1. */
    public double openFraction() {
        return (double) openParts / ALL_PARTS;
    }

    /** The next decision. At the highest epoch nothing more is decided, rather than beginning anew. */
    public ZoneState next(int parts, Cause by, int lately) {
        return epoch == MAX_EPOCH ? this : new ZoneState(epoch + 1, parts, by, Math.min(MAX_LEAVE_COUNT, lately));
    }

    /** The same beyond an epoch that is known to have been there. */
    ZoneState withEpochAbove(int floor) {
        return epoch > floor ? this : new ZoneState(Math.min(MAX_EPOCH, floor + 1), openParts, cause, leaveCount);
    }

    /**
     * Which of two holds: the higher epoch; in one epoch an operator's word over what is seen, then the wider open, so
     * that two who decide at once leave no more than either would; then the longer memory.
     */
    @Override
    public int compareTo(ZoneState other) {
        int by = Integer.compare(epoch, other.epoch);
        by = by != 0 ? by : cause.compareTo(other.cause);
        by = by != 0 ? by : Integer.compare(openParts, other.openParts);
        return by != 0 ? by : Integer.compare(leaveCount, other.leaveCount);
    }

    int bits() {
        return epoch << 8 | openParts << 4 | leaveCount << 2 | cause.code();
    }

    static ZoneState of(int bits) {
        return new ZoneState(bits >>> 8, bits >>> 4 & 15, Cause.of(bits), bits >>> 2 & 3);
    }
}
