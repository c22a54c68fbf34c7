package cacheproxy.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.proxy.Config;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a proxy does with itself before it says that it is ready. */
class WarmUpTest {
    @TempDir
    private Path folder;

    /** In the operators' form, with cache nodes beside the origin. */
    private static Config config() {
        return Config.read("src/test/resources/config.json");
    }

    private void assertCleanedUp() throws Exception {
        try (var left = Files.list(folder)) {
            assertThat(left).isEmpty();
        }
        Await.until(
                "its event loop has ended",
                () -> Thread.getAllStackTraces().keySet().stream()
                        .noneMatch(t -> t.getName().startsWith(WarmUp.THREAD_NAME)));
    }

    @Test
    void allRequestsAreAnswered() throws Exception {
        assertThat(WarmUp.run(config(), folder)).isEqualTo(WarmUp.REQUEST_COUNT);
        assertCleanedUp();
    }

    /** Seen: where the platform has no Unix sockets it failed at once, and its sweeper went on for good. */
    @Test
    void failedWarmUpCleansUp() throws Exception {
        Files.createDirectory(folder.resolve("p")); // where it would listen
        assertThat(WarmUp.run(config(), folder)).isZero();
        assertCleanedUp();
    }
}
