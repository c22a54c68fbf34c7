package cacheproxy.lab;

import cacheproxy.demo.OracleObserver;
import cacheproxy.demo.ProxiedFleet;
import cacheproxy.demo.ProxyWatch;
import cacheproxy.emulator.Oracle;
import cacheproxy.emulator.Series;
import cacheproxy.emulator.TrafficClass;
import cacheproxy.emulator.ValueSizes;
import cacheproxy.load.Generator;
import cacheproxy.load.Report;
import cacheproxy.load.Shape;
import cacheproxy.load.SyntheticWorkload;
import cacheproxy.load.SyntheticWorkload.Arrivals;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/** Runs one scenario, from starting the processes to stopping them; leaves no processes or files behind. */
public final class LabRun {
    private static final double LEAD_IN_SHARE = 0.25;
    private static final double ZIPF = 0.95;
    private static final int VALUE_BYTES = 200;
    private static final int MEMORY_MB = 192;

    private final Scenario scenario;
    private final long seed;
    private final Path logs;
    private final Consumer<String> progress;
    private final Companion beside;

    /** {@code logs}: a folder for the proxies' logs, or null; {@code progress}: receives one line per second. */
    public LabRun(Scenario scenario, long seed, Path logs, Consumer<String> progress) {
        this(scenario, seed, logs, progress, Companion.NONE);
    }

    /** Creates a run with additional activity. */
    LabRun(Scenario scenario, long seed, Path logs, Consumer<String> progress, Companion beside) {
        this.scenario = scenario;
        this.seed = seed;
        this.logs = logs;
        this.progress = progress;
        this.beside = beside;
    }

    /** Runs the scenario; throws an IOException if a process does not start or the run is aborted. */
    public Outcome play() throws IOException, InterruptedException {
        try (ProxiedFleet fleet = new ProxiedFleet(scenario.fleet(), MEMORY_MB, null)) {
            List<TrafficClass> classes = scenario.fleet().classes();
            if (scenario.leadInMs() > 0) {
                // A different seed, so that its request ids don't collide with the run's at the oracle.
                run(fleet, workload(scenario.rate() * LEAD_IN_SHARE, scenario.leadInMs(), classes), ~seed);
            }
            double zeroMs = fleet.fleet().now();
            fleet.play(scenario.faults(), scenario.links());
            beside.begin(fleet);
            Report report = run(fleet, workload(scenario.rate(), scenario.forMs(), classes), seed);
            fleet.fleet().awaitGrace();
            beside.end(fleet.proxies());
            Oracle.Verdict verdict = fleet.fleet().verdict();
            int zero = (int) (zeroMs / 1000);
            List<Series.Row> rows = fleet.fleet().rows().stream()
                    .filter(r -> r.second() >= zero)
                    .map(r -> new Series.Row(r.second() - zero, r.proxy(), r.counts(), r.attempts()))
                    .toList();
            List<long[]> fine = fleet.fleet().tenths().stream()
                    .skip(Math.round(zeroMs / Series.TENTH_MS))
                    .toList();
            List<Outcome.Look> looks = fleet.watch().views().stream()
                    .map(l -> new Outcome.Look(
                            fleet.fleet().at(l.nanos()) - zeroMs,
                            l.settled(),
                            l.sights().stream()
                                    .mapToLong(ProxyWatch.Sight::refutedDeaths)
                                    .sum(),
                            l.sights().stream().map(ProxyWatch.Sight::open).toList(),
                            l.staleDecisions()))
                    .filter(l -> l.atMs() >= 0)
                    .toList();
            String died = fleet.died();
            if (logs != null) {
                fleet.keepLogs(logs);
            }
            return new Outcome(scenario, seed, report, verdict, rows, fine, looks, died);
        }
    }

    private SyntheticWorkload workload(double rate, double ms, List<TrafficClass> classes) {
        return new SyntheticWorkload(new SyntheticWorkload.Settings(
                rate,
                ms / 1000,
                Shape.STEADY,
                Arrivals.POISSON,
                scenario.keys(),
                ZIPF,
                0,
                ValueSizes.of(VALUE_BYTES),
                classes,
                seed));
    }

    private Report run(ProxiedFleet fleet, SyntheticWorkload workload, long clients)
            throws IOException, InterruptedException {
        Generator.Settings settings = new Generator.Settings(
                List.of(fleet.front()),
                scenario.fleet().classes(),
                scenario.connections(),
                1,
                200_000,
                0,
                0,
                10,
                clients,
                scenario.inTurn(),
                0);
        try (Generator generator =
                new Generator(settings, workload, new OracleObserver(fleet.fleet(), fleet::takenBy))) {
            CompletableFuture<Report> done = generator.start();
            while (true) {
                try {
                    return done.get(1, TimeUnit.SECONDS);
                } catch (TimeoutException e) {
                    Oracle.Verdict verdict = fleet.fleet().verdict();
                    progress.accept(generator.progress().text()
                            + fleet.watch().text()
                            + (verdict.held() ? "" : "  BROKEN " + verdict.breaches()));
                } catch (ExecutionException e) {
                    throw new IOException("the run broke off: " + e.getCause(), e);
                }
            }
        }
    }
}
