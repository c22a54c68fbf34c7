package cacheproxy.failover;

/**
 * The decision on one zone. On the wire, 32 bits: epoch (24), open parts (4), leave count (2), cause (2).
 *
 * @param epoch 0 if no decision was ever made, up to {@link #MAX_EPOCH}; each decision raises it, and it never
 *     decreases
 * @param trafficParts how many of the {@link #ALL_PARTS} parts of the zone's keys are sent there, 0 to
 *     {@link #ALL_PARTS}
 * @param cause why it was decided
 * @param leaveCount how many recent leaves are counted, 0 to {@link #MAX_LEAVE_COUNT}; delays a return
 */
public record ZoneState(int epoch, int trafficParts, Cause cause, int leaveCount) implements Comparable<ZoneState> {
    /** All parts of a zone's keys. With four zones, one part of a zone is some 2% of all requests. */
    public static final int ALL_PARTS = 15;
    /** The highest epoch; with a decision every half second it would be reached after 97 days. */
    public static final int MAX_EPOCH = 0xff_ffff;
    /** The highest leave count; further leaves are not counted. */
    public static final int MAX_LEAVE_COUNT = 3;
    /** The state before any decision: open. */
    static final ZoneState INITIAL = new ZoneState(0, ALL_PARTS, Cause.EVIDENCE, 0);

    /** Why a state was decided; of two decisions in one epoch the one with the later of these causes prevails. */
    public enum Cause {
        /** The zone's health as observed by the fleet. */
        EVIDENCE(0, "evidence"),
        /** An operator's order to return to it step by step; once it is open, its health decides again. */
        RETURN(1, "return"),
        /** An operator's order to keep it in its present state. */
        HOLD(2, "hold"),
        /** An operator's order to leave it, and to keep it left. */
        LEAVE(3, "leave");

        private final int code;
        private final String storedName;

        Cause(int code, String storedName) {
            this.code = code;
            this.storedName = storedName;
        }

        /** Its name in stored records, in answers to operators and in the log. */
        public String storedName() {
            return storedName;
        }

        /** The cause of this name; null if there is none. */
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

        /** The cause of the code in the lowest two bits. */
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
                || trafficParts < 0
                || trafficParts > ALL_PARTS
                || leaveCount < 0
                || leaveCount > MAX_LEAVE_COUNT) {
            throw new IllegalArgumentException("epoch " + epoch + ", " + trafficParts + " parts open, leave count "
                    + leaveCount + " is out of range");
        }
    }

    /** The fraction of its keys that is sent there, 0 to 1. */
    public double trafficFraction() {
        return (double) trafficParts / ALL_PARTS;
    }

    /** The next decision; this state itself at the highest epoch, as epochs never restart. */
    public ZoneState next(int nextParts, Cause nextCause, int nextLeaveCount) {
        return epoch == MAX_EPOCH
                ? this
                : new ZoneState(epoch + 1, nextParts, nextCause, Math.min(MAX_LEAVE_COUNT, nextLeaveCount));
    }

    /** The same decision in an epoch above one that has been in use. */
    ZoneState withEpochAbove(int usedEpoch) {
        return epoch > usedEpoch
                ? this
                : new ZoneState(Math.min(MAX_EPOCH, usedEpoch + 1), trafficParts, cause, leaveCount);
    }

    /**
     * Orders states by precedence: the higher epoch; in one epoch an operator's order over evidence, then the state
     * with more parts open, so that two concurrent decisions close no more than either of them would; then the higher
     * leave count.
     */
    @Override
    public int compareTo(ZoneState other) {
        int by = Integer.compare(epoch, other.epoch);
        by = by != 0 ? by : cause.compareTo(other.cause);
        by = by != 0 ? by : Integer.compare(trafficParts, other.trafficParts);
        return by != 0 ? by : Integer.compare(leaveCount, other.leaveCount);
    }

    int encode() {
        return epoch << 8 | trafficParts << 4 | leaveCount << 2 | cause.code();
    }

    static ZoneState decode(int bits) {
        return new ZoneState(bits >>> 8, bits >>> 4 & 15, Cause.of(bits), bits >>> 2 & 3);
    }
}
