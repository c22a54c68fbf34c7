package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import com.google.gson.JsonArray;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a proxy does with itself before it says that it is ready. */
class WarmUpTest {
    @TempDir
    private Path folder;

    private static Config config(String mode) {
        Fleet fleet = new Fleet().set("extra.mode", mode);
        fleet.config.add("known", Fleet.list(41, true, new JsonArray()));
        return Config.parse(fleet.config);
    }

    private void nothingIsLeft() throws Exception {
        try (var left = Files.list(folder)) {
            assertThat(left).isEmpty();
        }
        Await.until(
                "its event loop has ended",
                () -> Thread.getAllStackTraces().keySet().stream()
                        .noneMatch(t -> t.getName().startsWith(WarmUp.THREAD)));
    }

    @Test
    void allOfItsRequestsAreAnswered() throws Exception {
        assertThat(WarmUp.run(config("aside"), folder)).isEqualTo(WarmUp.REQUESTS);
        nothingIsLeft();
    }

    /** Seen: where the platform has no Unix sockets it failed at once, and its sweeper went on for good. */
    @Test
    void nothingIsLeftOfOneThatFails() throws Exception {
        Files.createDirectory(folder.resolve("p")); // where it would listen
        assertThat(WarmUp.run(config("aside"), folder)).isZero();
        nothingIsLeft();
    }
}
