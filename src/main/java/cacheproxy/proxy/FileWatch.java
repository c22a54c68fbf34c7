package cacheproxy.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Looks at a file now and then and runs a task when it has changed: the way to new settings for a process that SIGHUP
 * does not reach. On a thread of its own, as files can be slow.
 */
final class FileWatch {
    /** New settings are in force within a second or so, as after a signal. */
    private static final long EVERY_MS = 500;

    private final Path file;
    private final Runnable whenChanged;
    private Stamp last;

    /** What tells one content of the file from the next; a key of null: there is no file. */
    private record Stamp(FileTime modified, long size, Object key) {}

    /** Begins with the file as it is now. */
    FileWatch(Path file, Runnable whenChanged) {
        this.file = file;
        this.whenChanged = whenChanged;
        last = stamp();
    }

    /** Looks from now on, as long as the process lives. */
    void start() {
        Thread thread = new Thread(this::look, "settings");
        thread.setDaemon(true);
        thread.start();
    }

    private void look() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(EVERY_MS);
                lookOnce();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs the task if the file has changed since the last time and is there. */
    void lookOnce() {
        Stamp now = stamp();
        if (now != null && !Objects.equals(now, last)) {
            whenChanged.run();
        }
        last = now == null ? last : now;
    }

    private Stamp stamp() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return new Stamp(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
        } catch (IOException e) {
            return null; // it may be on its way
        }
    }
}
