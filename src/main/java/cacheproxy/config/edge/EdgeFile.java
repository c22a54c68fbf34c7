package cacheproxy.config.edge;

import cacheproxy.config.ConfigFile;
import cacheproxy.config.Configuration;
import cacheproxy.config.Problems;
import cacheproxy.config.Schema;
import cacheproxy.proxy.lifecycle.RouteSource;
import cacheproxy.route.KnownNames;
import cacheproxy.route.Routing;
import java.nio.file.Path;

/** The file of a proxy's routes, read at start and again on each SIGHUP. */
public final class EdgeFile implements RouteSource {
    private final Path file;

    /** Does not read the file yet. */
    public EdgeFile(Path file) {
        this.file = file;
    }

    /** All sections permitted in the file. {@code known} as for {@link RoutingSections#register}. */
    public static Schema schema(KnownNames known) {
        return QuotaSections.register(RoutingSections.register(new Schema(), known));
    }

    @Override
    public Routing read(KnownNames known) {
        Problems problems = new Problems();
        Configuration configuration = ConfigFile.read(file, schema(known), problems);
        if (!problems.none()) {
            throw new IllegalArgumentException(problems.text() + file + " is not taken");
        }
        return RoutingSections.routing(configuration);
    }
}
