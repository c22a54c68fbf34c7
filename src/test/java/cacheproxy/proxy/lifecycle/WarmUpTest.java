package cacheproxy.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.proxy.Config;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
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

    /** The connections that the stub servers had accepted stayed open for as long as the process ran. */
    @Test
    void noSocketStaysOpen() throws Exception {
        long before = openSockets();
        WarmUp.run(config(), folder);
        assertThat(openSockets()).isEqualTo(before);
    }

    private static long openSockets() throws IOException {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc/self/fd"))) {
            return descriptors.filter(WarmUpTest::isSocket).count();
        }
    }

    private static boolean isSocket(Path descriptor) {
        try {
            return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
        } catch (IOException e) {
            return false; // closed since it was listed
        }
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
