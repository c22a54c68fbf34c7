package cacheproxy.proxy.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Polls the configuration file and runs a task when it has changed, so that a process that does not receive SIGHUP can
 * be reconfigured. Polls on a separate thread, as file system calls can block.
 */
public final class ConfigFileWatcher {
    /** New settings take effect within about a second, as after SIGHUP. */
    private static final long POLL_INTERVAL_MS = 500;

    private final Path file;
    private final Runnable onChange;
    private Version lastVersion;

    /** The file attributes that detect a change of its content. */
    private record Version(FileTime modified, long size, Object fileKey) {}

    /** Compares with the file's present version; {@code whenChanged} runs on the polling thread. */
    public ConfigFileWatcher(Path file, Runnable whenChanged) {
        this.file = file;
        this.onChange = whenChanged;
        lastVersion = currentVersion();
    }

    /** Starts to poll, until the process exits. */
    public void start() {
        Thread thread = new Thread(this::poll, "settings");
        thread.setDaemon(true);
        thread.start();
    }

    private void poll() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
                check();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs the task if the file exists and has changed since the last check. */
    void check() {
        Version now = currentVersion();
        if (now != null && !Objects.equals(now, lastVersion)) {
            onChange.run();
        }
        lastVersion = now == null ? lastVersion : now;
    }

    /** Null if there is no file. */
    private Version currentVersion() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return new Version(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
        } catch (IOException e) {
            return null; // the file may be in the middle of a replacement
        }
    }
}
