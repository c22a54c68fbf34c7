package cacheproxy.load;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * The number of sockets that this process may still open. A Java process without free file descriptors can't load
 * classes, which aborts the run; some are therefore reserved for class loading and for the report.
 */
final class Descriptors {
    /** Descriptors reserved for the JVM's own files and the run's reports. */
    static final int RESERVE = 32;

    private Descriptors() {}

    /**
     * The number of sockets that may still be opened, at least 1; {@link Integer#MAX_VALUE} if the limit is unknown.
     */
    static int available() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean os
                ? available(os.getMaxFileDescriptorCount(), os.getOpenFileDescriptorCount())
                : Integer.MAX_VALUE;
    }

    static int available(long most, long open) {
        return most < 0 || open < 0
                ? Integer.MAX_VALUE
                : (int) Math.max(1, Math.min(Integer.MAX_VALUE, most - open - RESERVE));
    }

    /** Whether opening a socket failed because the process or the system has reached its file descriptor limit. */
    static boolean exhausted(Throwable cause) {
        for (Throwable t = cause; t != null; t = t.getCause()) {
            String text = String.valueOf(t.getMessage());
            if (text.contains("Too many open files") || text.contains("No file descriptors")) {
                return true;
            }
        }
        return false;
    }
}
