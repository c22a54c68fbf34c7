package cacheproxy.cli;

import cacheproxy.metrics.FleetMetrics;
import cacheproxy.metrics.Metric;
import cacheproxy.metrics.MetricsLine;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code figures}: sums the metrics of all proxies of a tier from their logs. */
@Command(
        name = "figures",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Reads the logs of proxies that were started with serve --figures, and adds up over all of them. A "
                    + "folder stands for all files in it. Exit codes: 0 done, 1 no figures in them or a file can't be read, "
                    + "2 wrong use."
        },
        footerHeading = "%nExamples:%n",
        footer = {"  figures logs", "  figures --each p0.log p1.log"})
final class FiguresCommand implements Callable<Integer> {
    /** Limit on the listed nodes that rejected connections. */
    private static final int MAX_NODES_SHOWN = 10;

    @Spec
    private CommandSpec spec;

    @Option(names = "--each", description = "Each process by itself, too.")
    private boolean each;

    @Parameters(paramLabel = "LOG", arity = "1..*", description = "Files or folders.")
    private List<Path> logs;

    @Override
    public Integer call() throws IOException {
        FleetMetrics metrics = new FleetMetrics();
        for (Path log : logs) {
            read(log, metrics);
        }
        PrintWriter out = spec.commandLine().getOut();
        if (metrics.processes().isEmpty()) {
            spec.commandLine().getErr().println("no figures in these logs; start the proxies with serve --figures 5s");
            return Cli.FAILED;
        }
        print(out, metrics);
        out.flush();
        return Cli.OK;
    }

    private static void read(Path log, FleetMetrics metrics) throws IOException {
        if (!Files.exists(log)) {
            throw new IOException(log + ": there is no such file or folder");
        }
        if (!Files.isDirectory(log)) {
            readFile(log, metrics);
            return;
        }
        try (Stream<Path> files = Files.walk(log)) {
            for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                readFile(file, metrics);
            }
        }
    }

    private static void readFile(Path file, FleetMetrics metrics) throws IOException {
        // other parts of a log may not be valid UTF-8; this reader replaces malformed bytes instead of failing
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
            in.lines().forEach(metrics::add);
        }
    }

    private void print(PrintWriter out, FleetMetrics metrics) {
        double seconds = metrics.spanMs() / 1000.0;
        out.printf(
                "%d processes of %d proxies, %.0f s%n%n",
                metrics.processes().size(),
                metrics.processes().stream().map(MetricsLine::proxy).distinct().count(),
                seconds);
        out.printf("%-28s %12s %12s %12s%n", "", "in all", "a second", "a request");
        long requests = metrics.total(Metric.REQUESTS_SUCCEEDED)
                + metrics.total(Metric.REQUESTS_REJECTED)
                + metrics.total(Metric.REQUESTS_FAILED);
        for (Metric metric : Metric.values()) {
            out.printf(
                    "%-28s %,12d %12.2f %12.4f%n",
                    metric.label(),
                    metrics.total(metric),
                    metrics.total(metric) / Math.max(1, seconds),
                    metrics.total(metric) / (double) Math.max(1, requests));
        }
        out.println();
        printDistribution(out, "processor time, ms", metrics, MetricsLine::cpuMs);
        printDistribution(out, "start to first served, ms", metrics, MetricsLine::firstServedMs);
        List<Map.Entry<String, Long>> rejected = metrics.rejectedConnections();
        if (!rejected.isEmpty()) {
            out.printf(
                    "%nnodes without a place (of %d the first %d): ",
                    rejected.size(), Math.min(MAX_NODES_SHOWN, rejected.size()));
            rejected.stream().limit(MAX_NODES_SHOWN).forEach(e -> out.print(" " + e.getKey() + "=" + e.getValue()));
            out.println();
        }
        List<FleetMetrics.Ejection> ejections = metrics.ejections();
        if (!ejections.isEmpty()) {
            out.printf("%n%-10s %10s %14s %16s%n", "avoided", "proxies", "from, s", "all within, s");
            long start = metrics.processes().stream()
                    .mapToLong(l -> l.atMs() - l.upMs())
                    .min()
                    .orElse(0);
            ejections.forEach(l -> out.printf(
                    "%-10s %10d %14.1f %16.1f%n",
                    l.node(), l.proxies(), (l.fromMs() - start) / 1000.0, l.spreadMs() / 1000.0));
        }
        if (each) {
            out.printf(
                    "%n%-16s %8s %8s %10s %10s %10s %10s %10s%n",
                    "process", "up, s", "cpu, s", "served", "list calls", "opened", "no place", "copies");
            metrics.processes().stream()
                    .sorted(Comparator.comparing(MetricsLine::proxy).thenComparing(MetricsLine::atMs))
                    .forEach(l -> out.printf(
                            "%-16s %8.1f %8.1f %10d %10d %10d %10d %10d%n",
                            l.proxy() + "/" + l.pid(),
                            l.upMs() / 1000.0,
                            l.cpuMs() / 1000.0,
                            l.count(Metric.REQUESTS_SUCCEEDED),
                            l.count(Metric.ENDPOINT_LIST_POLLS),
                            l.count(Metric.CONNECTIONS_OPENED),
                            l.count(Metric.CONNECTIONS_REJECTED),
                            l.count(Metric.HEDGES)));
        }
        if (metrics.truncatedLines() > 0) {
            out.printf("%n%d lines of figures were cut off%n", metrics.truncatedLines());
        }
    }

    /** Prints minimum, median and maximum over all processes that report the value. */
    private static void printDistribution(
            PrintWriter out, String label, FleetMetrics metrics, ToLongFunction<MetricsLine> of) {
        long[] all = metrics.processes().stream()
                .mapToLong(of)
                .filter(v -> v >= 0)
                .sorted()
                .toArray();
        if (all.length > 0) {
            out.printf("%-28s least %d, middle %d, most %d%n", label, all[0], all[all.length / 2], all[all.length - 1]);
        }
    }
}
