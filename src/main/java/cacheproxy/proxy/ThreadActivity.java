package cacheproxy.proxy;

import cacheproxy.metrics.LoopStall;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.lang.ref.WeakReference;

/**
 * What the current thread has done since a sample: processor time, time in the run queue, and whether there was a
 * garbage collection. Read from {@code /proc/thread-self/schedstat}; unknown where there is no such file. A sample only
 * copies the file; it is parsed when a stall is described. To be created and used on one thread.
 */
final class ThreadActivity {
    private static final String FILE = "/proc/thread-self/schedstat";
    private static final int MAX_BYTES = 128;
    private static final int DECIMAL = 10;
    private static final double NANOS_PER_MILLI = 1e6;

    private final RandomAccessFile file;
    private final byte[] sampled = new byte[MAX_BYTES];
    private int sampledBytes;
    /** Its referent is reachable by nothing else, so that the next collection clears it. */
    private WeakReference<Object> untilCollection = new WeakReference<>(new Object());

    ThreadActivity() {
        file = open();
        sample();
    }

    private static RandomAccessFile open() {
        try {
            return new RandomAccessFile(FILE, "r");
        } catch (IOException e) {
            return null; // another operating system, or a kernel without these statistics
        }
    }

    /** Starts a new period. */
    void sample() {
        sampledBytes = read(sampled);
        if (untilCollection.get() == null) {
            untilCollection = new WeakReference<>(new Object());
        }
    }

    /** Describes a stall by what the thread has done since the last sample. */
    LoopStall describe(double blockedMs, boolean polling) {
        byte[] now = new byte[MAX_BYTES];
        int nowBytes = read(now);
        return new LoopStall(
                blockedMs,
                polling,
                fieldMs(now, nowBytes, 0) - fieldMs(sampled, sampledBytes, 0),
                fieldMs(now, nowBytes, 1) - fieldMs(sampled, sampledBytes, 1),
                untilCollection.get() == null);
    }

    /** Reads the file; returns the number of bytes, 0 if it can't be read. */
    private int read(byte[] buffer) {
        if (file == null) {
            return 0;
        }
        try {
            file.seek(0);
            return Math.max(0, file.read(buffer));
        } catch (IOException e) {
            return 0;
        }
    }

    /** The number at this position, in nanoseconds in the file; NaN if there is none. */
    private static double fieldMs(byte[] text, int bytes, int position) {
        int at = 0;
        for (int skipped = 0; skipped < position && at < bytes; at++) {
            skipped += text[at] == ' ' ? 1 : 0;
        }
        long nanos = 0;
        int first = at;
        for (; at < bytes && text[at] >= '0' && text[at] <= '9'; at++) {
            nanos = nanos * DECIMAL + text[at] - '0';
        }
        return at == first ? Double.NaN : nanos / NANOS_PER_MILLI;
    }
}
