package cacheproxy.cli;

import cacheproxy.emulator.Fault;
import cacheproxy.emulator.FaultScript;
import cacheproxy.emulator.FleetSpec;
import cacheproxy.emulator.TrafficClass;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Option;

/** Options of the emulated fleet, shared by {@code fleet} and {@code demo}. */
final class FleetOptions {
    @Option(
            names = "--nodes",
            paramLabel = "N",
            defaultValue = "8",
            description = "Cache nodes (default: ${DEFAULT-VALUE}).")
    int nodes;

    @Option(
            names = "--proxies",
            paramLabel = "N",
            defaultValue = "2",
            description = "Real proxies, processes of their own (default: ${DEFAULT-VALUE}).")
    int proxies;

    @Option(
            names = "--fleet-seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Of the stand-ins' speeds and work (default: ${DEFAULT-VALUE}).")
    long seed;

    @Option(
            names = "--work",
            paramLabel = "TIME",
            defaultValue = "3ms",
            description = "Mean work of a read at a core of speed 1; 0ms: none (default: ${DEFAULT-VALUE}).")
    Duration work;

    @Option(
            names = "--origin-time",
            paramLabel = "TIME",
            defaultValue = "25ms",
            description = "Mean time of a fetch at the origin (default: ${DEFAULT-VALUE}).")
    Duration originTime;

    @Option(
            names = "--cache",
            paramLabel = "N",
            defaultValue = "20000",
            description = "Keys that a node holds (default: ${DEFAULT-VALUE}).")
    int cache;

    @Option(
            names = "--node-connections",
            paramLabel = "N",
            defaultValue = "42",
            description = "Connections that a node accepts (default: ${DEFAULT-VALUE}).")
    int connections;

    @Option(
            names = "--held",
            paramLabel = "SHARE",
            defaultValue = "0.92",
            description = "The share of all keys that nodes hold at the start, 0 to 1 (default: ${DEFAULT-VALUE}).")
    double held;

    @Option(
            names = "--notice",
            paramLabel = "TIME",
            defaultValue = "1500ms",
            description = "How late roster and front layer see a change (default: ${DEFAULT-VALUE}).")
    Duration notice;

    @Option(
            names = "--patience",
            paramLabel = "F",
            defaultValue = "1",
            description = "Multiplies the classes' aims and deadlines, for slow machines (default: ${DEFAULT-VALUE}).")
    double patience;

    @Option(
            names = "--memory",
            paramLabel = "MB",
            defaultValue = "192",
            description = "What each proxy is told it has (default: ${DEFAULT-VALUE}).")
    int memoryMb;

    @Option(
            names = "--edge",
            paramLabel = "FILE",
            description = "Routes, pools and policies for the proxies, read again at the fault hup.")
    Path edge;

    @Option(
            names = "--fault",
            paramLabel = "FILE",
            description = "A script of faults, a line each: AT TARGET ACTION [LENGTH] [SHARE].")
    Path script;

    FleetSpec spec() {
        FleetSpec standard = FleetSpec.standard(nodes, proxies, seed);
        return standard.withClasses(TrafficClass.SUBTITLES.stream()
                        .map(c -> c.patient(patience))
                        .toList())
                .withWork(work.ms(), originTime.ms())
                .withBounds(
                        cache, standard.queue(), connections, standard.values().usual())
                .withHeld(held)
                .withTimes(
                        notice.ms(), standard.warmUpMs(), standard.drainGraceMs(), standard.answerGraceMs() * patience);
    }

    List<Fault> faults(FleetSpec spec) throws IOException, FaultScript.ScriptException {
        return script == null ? List.of() : FaultScript.parse(script.toString(), Files.readAllLines(script), spec);
    }
}
