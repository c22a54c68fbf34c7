package cacheproxy.cli;

import cacheproxy.emulator.FleetSpec;
import cacheproxy.emulator.ValueSizes;
import picocli.CommandLine.Option;

/** Option for value sizes, shared by {@code fleet}, {@code load} and {@code demo}. */
final class ValueOptions {
    @Option(
            names = "--values",
            paramLabel = "MIX",
            defaultValue = "",
            description =
                    "Shares of all keys with longer values, as SIZE:SHARE separated by commas: 4mb:0.05,64kb:0.1.")
    private String mix;

    /** The value sizes; keys outside the mix have the usual length. */
    ValueSizes sizes(int usual) {
        return ValueSizes.parse(mix, usual);
    }

    /** The fleet with these value sizes. */
    FleetSpec applyTo(FleetSpec spec) {
        return spec.withValues(sizes(spec.values().usual()));
    }
}
