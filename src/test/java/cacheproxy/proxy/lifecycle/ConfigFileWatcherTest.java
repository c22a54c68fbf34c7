package cacheproxy.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What counts as a change of a file. */
class ConfigFileWatcherTest {
    @TempDir
    private Path folder;

    @Test
    void eachChangeIsToldOnceAndAFileThatIsAwayIsNone() throws Exception {
        Path file = Files.writeString(folder.resolve("config"), "one");
        AtomicInteger changes = new AtomicInteger();
        ConfigFileWatcher watch = new ConfigFileWatcher(file, changes::incrementAndGet);
        watch.check();
        assertThat(changes).hasValue(0);
        Files.writeString(file, "another");
        watch.check();
        watch.check();
        assertThat(changes).hasValue(1);
        Files.delete(file);
        watch.check();
        assertThat(changes).hasValue(1);
        Path next = Files.writeString(folder.resolve("next"), "third..");
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        watch.check();
        assertThat(changes).hasValue(2);
    }
}
