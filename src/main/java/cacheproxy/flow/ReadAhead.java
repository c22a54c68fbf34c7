package cacheproxy.flow;

/**
 * How much of what clients send may be read before it can be looked at. Reading on tells when bytes came, and shows a
 * client's end that stands behind them; what is kept is memory. Each connection has some of its own, and takes more out
 * of what all of them share.
 */
public final class ReadAhead {
    /** Of each connection, in bytes. */
    public static final int OWN_BYTES = 32 << 10;
    /** With what it takes of the shared part: thousands of commands. */
    public static final int MAX_BYTES = 512 << 10;

    private final long sharedBytes;
    private long usedBytes;

    /** {@code sharedBytes}: for all connections together, beside what each has of its own; 0 or more. */
    public ReadAhead(long sharedBytes) {
        if (sharedBytes < 0) {
            throw new IllegalArgumentException("room for " + sharedBytes + " bytes");
        }
        this.sharedBytes = sharedBytes;
    }

    /** One connection's part. */
    public final class Part {
        private long takenBytes;

        /** Whether reading may go on where so many bytes wait to be looked at. */
        public boolean mayReadOn(int waitingBytes) {
            long wanted = Math.max(0, waitingBytes - OWN_BYTES);
            take(Math.min(wanted, takenBytes)); // less of it is needed than before
            if (waitingBytes >= MAX_BYTES || usedBytes - takenBytes + wanted > sharedBytes) {
                return waitingBytes < OWN_BYTES;
            }
            take(wanted);
            return wanted < sharedBytes || waitingBytes < OWN_BYTES;
        }

        /** Nothing waits any more. */
        public void release() {
            take(0);
        }

        private void take(long bytes) {
            usedBytes += bytes - takenBytes;
            takenBytes = bytes;
        }
    }

    /** The part of one more connection. */
    public Part part() {
        return new Part();
    }

    /** Bytes of the shared part that are taken. */
    public long used() {
        return usedBytes;
    }
}
