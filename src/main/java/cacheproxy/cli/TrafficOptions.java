package cacheproxy.cli;

import cacheproxy.emulator.TrafficClass;
import cacheproxy.load.Shape;
import cacheproxy.load.SyntheticWorkload;
import cacheproxy.load.SyntheticWorkload.Arrivals;
import java.util.List;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Options of synthetic traffic, shared by {@code load} and {@code demo}. */
final class TrafficOptions {
    @Option(
            names = "--rate",
            paramLabel = "N",
            defaultValue = "500",
            description = "Requests a second, on average (default: ${DEFAULT-VALUE}).")
    double rate;

    @Option(
            names = "--for",
            paramLabel = "TIME",
            defaultValue = "20s",
            description = "How long, warm-up and all (default: ${DEFAULT-VALUE}).")
    Duration length;

    @Option(
            names = "--shape",
            defaultValue = "STEADY",
            description = "steady, surge (a release evening) or wave (default: steady).")
    Shape shape;

    @Option(names = "--arrivals", defaultValue = "POISSON", description = "poisson or constant (default: poisson).")
    Arrivals arrivals;

    @Option(
            names = "--keys",
            paramLabel = "N",
            defaultValue = "20000",
            description = "Keys in the key space (default: ${DEFAULT-VALUE}).")
    int keys;

    @Option(
            names = "--zipf",
            paramLabel = "S",
            defaultValue = "0.95",
            description = "Exponent of the keys' popularity; 0: all alike (default: ${DEFAULT-VALUE}).")
    double zipf;

    @Option(
            names = "--key-stay",
            paramLabel = "TIME",
            defaultValue = "0s",
            description = "How long popular keys stay so; 0s: always (default: ${DEFAULT-VALUE}).")
    Duration keyStay;

    @Option(
            names = "--value-bytes",
            paramLabel = "N",
            defaultValue = "200",
            description = "Length of a write's value (default: ${DEFAULT-VALUE}).")
    int valueBytes;

    @Mixin
    ValueOptions values;

    @Option(
            names = "--connection-stay",
            paramLabel = "TIME",
            defaultValue = "0s",
            description = "How long a connection is kept, on average; 0s: for good (default: ${DEFAULT-VALUE}).")
    Duration connectionStay;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Of all that is drawn; the same gives the same requests (default: ${DEFAULT-VALUE}).")
    long seed;

    SyntheticWorkload workload(List<TrafficClass> classes) {
        return new SyntheticWorkload(new SyntheticWorkload.Settings(
                rate,
                length.seconds(),
                shape,
                arrivals,
                keys,
                zipf,
                keyStay.seconds(),
                values.sizes(valueBytes),
                classes,
                seed));
    }

    /** Steady traffic over the same keys at another rate, sent before the run. */
    SyntheticWorkload leadIn(List<TrafficClass> classes, double leadRate, double seconds) {
        return new SyntheticWorkload(new SyntheticWorkload.Settings(
                leadRate,
                seconds,
                Shape.STEADY,
                arrivals,
                keys,
                zipf,
                keyStay.seconds(),
                values.sizes(valueBytes),
                classes,
                seed));
    }
}
