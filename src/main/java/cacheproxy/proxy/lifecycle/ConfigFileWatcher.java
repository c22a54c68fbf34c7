package cacheproxy.proxy.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Polls the configuration file and runs a task when it has changed: how a process that SIGHUP does not reach gets new
 * settings. Polls on a thread of its own, as file systems can be slow.
 */
public final class ConfigFileWatcher {
    /** New settings are in force within about a second, as after a signal. */
    private static final long POLL_INTERVAL_MS = 500;

    private final Path file;
    private final Runnable onChange;
    private Version lastVersion;

    /** What distinguishes one content of the file from the next. */
    private record Version(FileTime modified, long size, Object fileKey) {}

    /** Starts from the file as it is now; {@code onChange} runs on the polling thread. */
    public ConfigFileWatcher(Path file, Runnable whenChanged) {
        this.file = file;
        this.onChange = whenChanged;
        lastVersion = currentVersion();
    }

    /** Polls from now on, for as long as the process lives. */
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
            return null; // it may be being replaced
        }
    }
}
