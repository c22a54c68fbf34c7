package cacheproxy.cli;

import cacheproxy.metrics.FleetWork;
import cacheproxy.metrics.Work;
import cacheproxy.metrics.WorkLine;
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

/** {@code figures}: what all proxies of a tier have done together, from their logs. */
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
    /** Nodes named of those that turned connections away. */
    private static final int SHOWN = 10;

    @Spec
    private CommandSpec spec;

    @Option(names = "--each", description = "Each process by itself, too.")
    private boolean each;

    @Parameters(paramLabel = "LOG", arity = "1..*", description = "Files or folders.")
    private List<Path> logs;

    @Override
    public Integer call() throws IOException {
        FleetWork work = new FleetWork();
        for (Path log : logs) {
            read(log, work);
        }
        PrintWriter out = spec.commandLine().getOut();
        if (work.processes().isEmpty()) {
            spec.commandLine().getErr().println("no figures in these logs; start the proxies with serve --figures 5s");
            return Cli.FAILED;
        }
        print(out, work);
        out.flush();
        return Cli.OK;
    }

    private static void read(Path log, FleetWork work) throws IOException {
        if (!Files.exists(log)) {
            throw new IOException(log + ": there is no such file or folder");
        }
        if (!Files.isDirectory(log)) {
            readFile(log, work);
            return;
        }
        try (Stream<Path> files = Files.walk(log)) {
            for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                readFile(file, work);
            }
        }
    }

    private static void readFile(Path file, FleetWork work) throws IOException {
        // Whatever else stands in a log need not be text; a reader made this way takes any bytes.
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
            in.lines().forEach(work::add);
        }
    }

    private void print(PrintWriter out, FleetWork work) {
        double seconds = work.spanMs() / 1000.0;
        out.printf(
                "%d processes of %d proxies, %.0f s%n%n",
                work.processes().size(),
                work.processes().stream().map(WorkLine::proxy).distinct().count(),
                seconds);
        out.printf("%-28s %12s %12s %12s%n", "", "in all", "a second", "a request");
        long requests = work.total(Work.SERVED) + work.total(Work.REFUSED) + work.total(Work.FAILED);
        for (Work w : Work.values()) {
            out.printf(
                    "%-28s %,12d %12.2f %12.4f%n",
                    w.words(),
                    work.total(w),
                    work.total(w) / Math.max(1, seconds),
                    work.total(w) / (double) Math.max(1, requests));
        }
        out.println();
        line(out, "processor time, ms", work, WorkLine::cpuMs);
        line(out, "start to first served, ms", work, WorkLine::firstAnswerMs);
        List<Map.Entry<String, Long>> full = work.turnedAway();
        if (!full.isEmpty()) {
            out.printf("%nnodes without a place (of %d the first %d): ", full.size(), Math.min(SHOWN, full.size()));
            full.stream().limit(SHOWN).forEach(e -> out.print(" " + e.getKey() + "=" + e.getValue()));
            out.println();
        }
        List<FleetWork.Left> left = work.left();
        if (!left.isEmpty()) {
            out.printf("%n%-10s %10s %14s %16s%n", "avoided", "proxies", "from, s", "all within, s");
            long start = work.processes().stream()
                    .mapToLong(l -> l.atMs() - l.upMs())
                    .min()
                    .orElse(0);
            left.forEach(l -> out.printf(
                    "%-10s %10d %14.1f %16.1f%n",
                    l.node(), l.proxies(), (l.fromMs() - start) / 1000.0, l.tookMs() / 1000.0));
        }
        if (each) {
            out.printf(
                    "%n%-16s %8s %8s %10s %10s %10s %10s %10s%n",
                    "process", "up, s", "cpu, s", "served", "list calls", "opened", "no place", "copies");
            work.processes().stream()
                    .sorted(Comparator.comparing(WorkLine::proxy).thenComparing(WorkLine::atMs))
                    .forEach(l -> out.printf(
                            "%-16s %8.1f %8.1f %10d %10d %10d %10d %10d%n",
                            l.proxy() + "/" + l.pid(),
                            l.upMs() / 1000.0,
                            l.cpuMs() / 1000.0,
                            l.count(Work.SERVED),
                            l.count(Work.LIST_CALLS),
                            l.count(Work.CONNECTIONS),
                            l.count(Work.NO_PLACE),
                            l.count(Work.SECOND_COPIES)));
        }
        if (work.unread() > 0) {
            out.printf("%n%d lines of figures were cut off%n", work.unread());
        }
    }

    /** Least, middle and most over all processes that tell it. */
    private static void line(PrintWriter out, String words, FleetWork work, ToLongFunction<WorkLine> of) {
        long[] all = work.processes().stream()
                .mapToLong(of)
                .filter(v -> v >= 0)
                .sorted()
                .toArray();
        if (all.length > 0) {
            out.printf("%-28s least %d, middle %d, most %d%n", words, all[0], all[all.length / 2], all[all.length - 1]);
        }
    }
}
