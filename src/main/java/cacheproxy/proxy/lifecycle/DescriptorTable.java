package cacheproxy.proxy.lifecycle;

import java.io.File;
import java.io.FileInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The kernel's table of this process's file descriptors. It grows when a descriptor is opened beyond its size, and in a
 * process with several threads that call waits for all processors, for tens of milliseconds on a busy machine. It never
 * shrinks.
 */
final class DescriptorTable {
    private static final String OPEN_DESCRIPTORS = "/proc/self/fd";
    private static final String PLACEHOLDER = "/dev/null";

    /** Processes that may run at a time, in an upgrade; together they may hold as many descriptors as one alone. */
    private static final int MAX_PROCESSES = 2;

    private DescriptorTable() {}

    /**
     * Grows the table to what a process may hold that is one of an upgrade's two, of {@code limit} descriptors in all,
     * so that the event loop need not wait for it later. Holds as many descriptors for a moment; stops early where the
     * system allows fewer. Blocks.
     */
    static void growFor(int limit) {
        int descriptors = limit / MAX_PROCESSES;
        List<FileInputStream> placeholders = new ArrayList<>();
        try {
            for (int open = countOpen(); open < descriptors; open++) {
                placeholders.add(new FileInputStream(PLACEHOLDER));
            }
        } catch (IOException e) {
            System.err.println("descriptor table not grown to " + descriptors + ": " + e.getMessage());
        } finally {
            placeholders.forEach(DescriptorTable::close);
        }
    }

    private static int countOpen() throws IOException {
        String[] open = new File(OPEN_DESCRIPTORS).list();
        if (open == null) {
            throw new IOException("can't read " + OPEN_DESCRIPTORS);
        }
        return open.length;
    }

    private static void close(FileInputStream placeholder) {
        try {
            placeholder.close();
        } catch (IOException e) {
            System.err.println("descriptor not closed: " + e.getMessage());
        }
    }
}
