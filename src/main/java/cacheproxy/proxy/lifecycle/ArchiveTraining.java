package cacheproxy.proxy.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Loads the classes that a proxy loads on a restart, so that the build can put them into a class data archive. */
public final class ArchiveTraining {
    /**
     * Long enough for some rounds of membership, ticks of zone failover and recovery, and state writes, in
     * milliseconds.
     */
    private static final long RUN_MS = 700;

    private ArchiveTraining() {}

    /**
     * Starts a proxy with every feature from the configuration that the environment names, exercises and stops it.
     *
     * @param use exercises the proxy
     * @return the process's exit code
     */
    public static int run(Consumer<Proxy> use) {
        try {
            Path folder = Files.createTempDirectory("train");
            StateLocation storage = new StateLocation(folder, "train");
            Proxy proxy = new Proxy(Proxy.startConfiguration(), null, true, null, storage);
            proxy.joinFleet(new FleetFeatures(true, true, true));
            use.accept(proxy);
            TimeUnit.MILLISECONDS.sleep(RUN_MS);
            proxy.close();
            delete(folder);
            return 0;
        } catch (InterruptedException | IOException e) {
            return 1;
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
