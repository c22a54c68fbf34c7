package cacheproxy.failover;

/**
 * What is decided of one zone. On the wire, 32 bits: epoch (24), open parts (4), leave count (2), cause (2).
 *
 * @param epoch 0 if nothing was ever decided, up to {@link #MAX_EPOCH}; each decision raises it, so that it never goes
 *     back
 * @param trafficParts for so many of {@link #ALL_PARTS} parts of its keys, 0 to {@link #ALL_PARTS}
 * @param cause why it is so
 * @param leaveCount how often it was left lately, 0 to {@link #MAX_LEAVE_COUNT}; delays a return
 */
public record ZoneState(int epoch, int trafficParts, Cause cause, int leaveCount) implements Comparable<ZoneState> {
    /** All of its keys. One part of a zone of four then moves some 2% of all requests. */
    public static final int ALL_PARTS = 15;
    /** The highest epoch; a decision every half second would take 97 days to get there. */
    public static final int MAX_EPOCH = 0xff_ffff;
    /** More leaves are not counted. */
    public static final int MAX_LEAVE_COUNT = 3;
    /** Nothing was ever decided: open. */
    static final ZoneState INITIAL = new ZoneState(0, ALL_PARTS, Cause.EVIDENCE, 0);

    /** Why a state holds; of decisions in one epoch that with the later of these holds. */
    public enum Cause {
        /** The zone's health, as the fleet observes it. */
        EVIDENCE(0, "evidence"),
        /** An operator returns to it step by step; once it is open, its health decides again. */
        RETURN(1, "return"),
        /** An operator keeps it as it is. */
        HOLD(2, "hold"),
        /** An operator leaves it, and keeps it left. */
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
                || trafficParts < 0
                || trafficParts > ALL_PARTS
                || leaveCount < 0
                || leaveCount > MAX_LEAVE_COUNT) {
            throw new IllegalArgumentException(
                    "epoch " + epoch + ", " + trafficParts + " parts open, left " + leaveCount + " times");
        }
    }

    /** The part of its keys that goes there, 0 to 1. */
    public double trafficFraction() {
        return (double) trafficParts / ALL_PARTS;
    }

    /** The next decision; this itself at the highest epoch, as epochs never begin anew. */
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
     * Which of two holds: the higher epoch; in one epoch an operator's order over evidence, then the one with more
     * parts open, so that two who decide at once leave no more than either would; then the higher leave count.
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
