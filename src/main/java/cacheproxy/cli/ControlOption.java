package cacheproxy.cli;

import cacheproxy.control.ControlClient;
import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Option that selects the proxy by its control socket. */
final class ControlOption {
    @Option(
            names = "--control",
            paramLabel = "PATH",
            required = true,
            description = "The control socket that the proxy was started with.")
    private Path path;

    ControlClient connect() throws IOException {
        return new ControlClient(path);
    }
}
