package cacheproxy.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Which changes of a file are detected. */
class ConfigFileWatcherTest {
    @TempDir
    private Path folder;

    @Test
    void eachChangeIsReportedOnceAndAMissingFileIsIgnored() throws Exception {
        Path file = Files.writeString(folder.resolve("config"), "one");
        AtomicInteger changes = new AtomicInteger();
        ConfigFileWatcher watcher = new ConfigFileWatcher(file, changes::incrementAndGet);
        watcher.check();
        assertThat(changes).hasValue(0);
        Files.writeString(file, "another");
        watcher.check();
        watcher.check();
        assertThat(changes).hasValue(1);
        Files.delete(file);
        watcher.check();
        assertThat(changes).hasValue(1);
        Path next = Files.writeString(folder.resolve("next"), "third..");
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        watcher.check();
        assertThat(changes).hasValue(2);
    }
}
