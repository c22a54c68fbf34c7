package cacheproxy.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * Resource usage of a process, from {@code /proc}.
 *
 * @param descriptors number of open file descriptors
 * @param threads number of threads
 * @param memoryKb resident memory
 */
record ProcessUse(int descriptors, int threads, long memoryKb) {
    /** The usage of a running process. */
    static ProcessUse of(long pid) throws IOException {
        Path proc = Path.of("/proc", Long.toString(pid));
        int descriptors;
        try (Stream<Path> files = Files.list(proc.resolve("fd"))) {
            descriptors = (int) files.count();
        }
        int threads = 0;
        long memoryKb = 0;
        for (String line : Files.readAllLines(proc.resolve("status"))) {
            if (line.startsWith("Threads:")) {
                threads = (int) figure(line);
            } else if (line.startsWith("VmRSS:")) {
                memoryKb = figure(line);
            }
        }
        return new ProcessUse(descriptors, threads, memoryKb);
    }

    private static long figure(String line) {
        return Long.parseLong(line.replaceAll("[^0-9]", ""));
    }

    /**
     * Whether the usage is at most what it was before plus what a proxy may keep: idle connections to its servers, and
     * memory, threads and descriptors allocated on first use.
     */
    boolean backTo(ProcessUse before, int servers) {
        return descriptors <= before.descriptors + DESCRIPTORS_BESIDE + SERVER_CONNECTIONS * servers
                && threads <= before.threads + THREADS_BESIDE
                && memoryKb <= before.memoryKb + MEMORY_BESIDE_KB;
    }

    private static final int DESCRIPTORS_BESIDE = 40;
    private static final int SERVER_CONNECTIONS = 4;
    private static final int THREADS_BESIDE = 6;
    private static final long MEMORY_BESIDE_KB = 60_000;
}
