package cacheproxy.cli;

import cacheproxy.emulator.TrafficClass;
import cacheproxy.load.Generator;
import cacheproxy.load.Observer;
import cacheproxy.load.Report;
import cacheproxy.load.TraceFormat;
import cacheproxy.load.TraceWorkload;
import cacheproxy.load.Workload;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code load}: the open-loop load generator. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Sends requests when they are meant to go, whatever becomes of those before, and counts each "
                    + "one's latency from that time. Exit codes: 0 done, 2 wrong use, 3 the schedule was not kept."
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  load --target 127.0.0.1:11211 --rate 1000 --for 30s --html out.html",
            "  load --target 127.0.0.1:11211 --rate 800 --for 2m --shape surge --key-stay 20s",
            "  load --target 127.0.0.1:11211 --trace day.csv --speed 4 --json out.json",
            "  load merge a.json b.json --html both.html"
        })
final class LoadCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--target",
            paramLabel = "HOST:PORT",
            split = ",",
            description = "Where to; several, separated by commas, take connections in turn.")
    private List<Target> targets;

    @Mixin
    private TrafficOptions traffic;

    @Option(
            names = "--mix",
            paramLabel = "MIX",
            defaultValue = "seg-text=57,seg-image=38,fix-submit=2.7:unsafe,track-publish=1.8:keyed",
            description = "Classes as NAME=SHARE[:read|unsafe|keyed[:DEADLINE_MS]], separated by commas "
                    + "(default: ${DEFAULT-VALUE}).")
    private String mix;

    @Option(
            names = "--deadline",
            paramLabel = "TIME",
            defaultValue = "5s",
            description = "When a request without answer ends, where its class names no other "
                    + "(default: ${DEFAULT-VALUE}).")
    private Duration deadline;

    @Option(
            names = "--connections",
            paramLabel = "N",
            defaultValue = "64",
            description = "Connections at most; further requests queue behind others (default: ${DEFAULT-VALUE}).")
    private int connections;

    @Option(
            names = "--depth",
            paramLabel = "N",
            defaultValue = "1000000",
            description = "Requests on one connection at most; more wait, and are charged it (default: no bound).")
    private int depth;

    @Option(
            names = "--read-rate",
            paramLabel = "BYTES",
            defaultValue = "0",
            description = "How fast each connection takes answers, in bytes a second; 0: as they come (default: 0).")
    private int readRate;

    @Option(
            names = "--max-outstanding",
            paramLabel = "N",
            defaultValue = "200000",
            description = "Requests out at most, the bound on memory (default: ${DEFAULT-VALUE}).")
    private int maxOutstanding;

    @Option(
            names = "--warm-up",
            paramLabel = "TIME",
            defaultValue = "0s",
            description = "At the start, sent and not counted (default: ${DEFAULT-VALUE}).")
    private Duration warmUp;

    @Option(
            names = "--max-lag",
            paramLabel = "TIME",
            defaultValue = "10ms",
            description =
                    "Schedule lag at p99.9 up to which the schedule counts as kept " + "(default: ${DEFAULT-VALUE}).")
    private Duration maxLag;

    @Option(names = "--trace", paramLabel = "FILE", description = "Replays a recorded trace instead.")
    private Path trace;

    @Option(
            names = "--trace-format",
            defaultValue = "CSV",
            description = "csv (time_ms,class,key,op,value_bytes) or twitter (timestamp,key,key size,value size,"
                    + "client id,operation,TTL) (default: csv).")
    private TraceFormat format;

    @Option(
            names = "--speed",
            paramLabel = "F",
            defaultValue = "1",
            description = "Replays a trace F times as fast (default: ${DEFAULT-VALUE}).")
    private double speed;

    @Option(names = "--json", paramLabel = "FILE", description = "Writes figures and histograms, for merging.")
    private Path json;

    @Option(names = "--hlog", paramLabel = "FILE", description = "Writes an HdrHistogram log.")
    private Path hlog;

    @Option(names = "--html", paramLabel = "FILE", description = "Writes a page with plots.")
    private Path html;

    @Override
    public Integer call() throws Exception {
        if (targets == null) { // not marked as required, as that would also require it for merge
            throw new ParameterException(spec.commandLine(), "--target HOST:PORT is missing");
        }
        PrintWriter out = spec.commandLine().getOut();
        List<TrafficClass> classes = TrafficClass.mix(mix, deadline.ms());
        Generator.Settings settings = new Generator.Settings(
                targets.stream().map(Target::address).toList(),
                classes,
                connections,
                depth,
                maxOutstanding,
                traffic.connectionStay.seconds(),
                warmUp.seconds(),
                maxLag.ms(),
                traffic.seed,
                false,
                readRate);
        Workload workload = trace == null
                ? traffic.workload(classes)
                : new TraceWorkload(Files.newInputStream(trace), format, classes, speed);
        try (Generator generator = new Generator(settings, workload, Observer.NONE)) {
            Report report = LoadRuns.run(generator, out, () -> "");
            out.println();
            out.print(report.text());
            out.flush();
            LoadRuns.write(report, "Load on " + targets.get(0).address(), json, hlog, html);
            return report.keptSchedule() ? Cli.OK : Cli.INCONCLUSIVE;
        }
    }

    @Command(
            name = "merge",
            mixinStandardHelpOptions = true,
            description = "Joins reports of generators that ran side by side: histograms are merged, percentiles "
                    + "never averaged.")
    private int merge(
            @Parameters(arity = "1..*", paramLabel = "FILE", description = "Reports written by --json.")
                    List<Path> files,
            @Option(names = "--json", paramLabel = "FILE", description = "Writes the joint report.") Path to,
            @Option(names = "--hlog", paramLabel = "FILE", description = "Writes an HdrHistogram log.") Path log,
            @Option(names = "--html", paramLabel = "FILE", description = "Writes a page with plots.") Path page)
            throws IOException {
        List<Report> reports = new ArrayList<>();
        for (Path file : files) {
            reports.add(Report.read(file));
        }
        Report merged = Report.merge(reports);
        PrintWriter out = spec.commandLine().getOut();
        out.print(merged.text());
        out.flush();
        LoadRuns.write(merged, "Load by " + reports.size() + " generators", to, log, page);
        return merged.keptSchedule() ? Cli.OK : Cli.INCONCLUSIVE;
    }
}
