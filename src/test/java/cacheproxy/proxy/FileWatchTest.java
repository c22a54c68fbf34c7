package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What counts as a change of a file. */
class FileWatchTest {
    @TempDir
    private Path folder;

    @Test
    void eachChangeIsToldOnceAndAFileThatIsAwayIsNone() throws Exception {
        Path file = Files.writeString(folder.resolve("config"), "one");
        AtomicInteger changes = new AtomicInteger();
        FileWatch watch = new FileWatch(file, changes::incrementAndGet);
        watch.lookOnce();
        assertThat(changes).hasValue(0);
        Files.writeString(file, "another");
        watch.lookOnce();
        watch.lookOnce();
        assertThat(changes).hasValue(1);
        Files.delete(file);
        watch.lookOnce();
        assertThat(changes).hasValue(1);
        Path next = Files.writeString(folder.resolve("next"), "third..");
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        watch.lookOnce();
        assertThat(changes).hasValue(2);
    }
}
