package cacheproxy.load;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * How many sockets this process may still open. A Java process that has used up its descriptors can't even load its own
 * classes, which breaks off whatever runs; so some are always left for that, and for the report.
 */
final class Descriptors {
    /** Left for the virtual machine's own files and a run's reports. */
    static final int RESERVE = 32;

    private Descriptors() {}

    /**
     * Sockets that may be opened from now on, at least one; {@link Integer#MAX_VALUE} where the system names no limit.
     */
    static int room() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean os
                ? room(os.getMaxFileDescriptorCount(), os.getOpenFileDescriptorCount())
                : Integer.MAX_VALUE;
    }

    static int room(long most, long open) {
        return most < 0 || open < 0
                ? Integer.MAX_VALUE
                : (int) Math.max(1, Math.min(Integer.MAX_VALUE, most - open - RESERVE));
    }

    /** Whether the system opened no socket because the process, or the machine, has as many as it may. */
    static boolean usedUp(Throwable cause) {
        for (Throwable t = cause; t != null; t = t.getCause()) {
            String text = String.valueOf(t.getMessage());
            if (text.contains("Too many open files") || text.contains("No file descriptors")) {
                return true;
            }
        }
        return false;
    }
}
