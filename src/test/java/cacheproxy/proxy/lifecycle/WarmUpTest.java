package cacheproxy.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.proxy.Config;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The warm-up answers its requests and cleans up, also if it fails. */
class WarmUpTest {
    @TempDir
    private Path folder;

    /** A configuration in the operators' format, with cache nodes as well as the origin. */
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

    /**
     * On a platform without Unix domain sockets the warm-up failed at once, and its periodic cleanup task kept running
     * forever.
     */
    @Test
    void failedWarmUpCleansUp() throws Exception {
        Files.createDirectory(folder.resolve("p")); // occupies the path of the proxy's socket
        assertThat(WarmUp.run(config(), folder)).isZero();
        assertCleanedUp();
    }
}
