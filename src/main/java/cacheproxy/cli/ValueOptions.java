package cacheproxy.cli;

import cacheproxy.emulator.FleetSpec;
import cacheproxy.emulator.ValueSizes;
import picocli.CommandLine.Option;

/** How long values are: an option that {@code fleet}, {@code load} and {@code demo} share. */
final class ValueOptions {
    @Option(
            names = "--values",
            paramLabel = "MIX",
            defaultValue = "",
            description =
                    "Shares of all keys with longer values, as SIZE:SHARE separated by commas: 4mb:0.05,64kb:0.1.")
    private String mix;

    /** Lengths for keys whose values have this length usually. */
    ValueSizes sizes(int usual) {
        return ValueSizes.parse(mix, usual);
    }

    /** This fleet with them. */
    FleetSpec applyTo(FleetSpec spec) {
        return spec.withValues(sizes(spec.values().usual()));
    }
}
