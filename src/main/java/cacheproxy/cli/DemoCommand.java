package cacheproxy.cli;

import cacheproxy.demo.OracleObserver;
import cacheproxy.demo.ProxiedFleet;
import cacheproxy.emulator.Fault;
import cacheproxy.emulator.FaultSchedules;
import cacheproxy.emulator.FleetSpec;
import cacheproxy.emulator.FrontLayer;
import cacheproxy.emulator.Oracle;
import cacheproxy.load.Generator;
import cacheproxy.load.Report;
import cacheproxy.load.Workload;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code demo}: a complete fleet on one machine under load for a limited time. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Starts a fleet of stand-ins, real proxies before it and a front layer before these, drives "
                    + "load, and tells whether the rules held. Exit codes: 0 all rules held, 1 one was broken or "
                    + "something did not start, 2 wrong use."
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  demo",
            "  demo --nodes 12 --proxies 3 --rate 1000 --for 60s --fault evening.faults --html out.html",
            "  demo --upgrade 6s --for 60s",
            "  demo --proxies 14 --nodes 60 --release 10s --replace 500ms",
            "  demo --rate 100 --values 4mb:0.02,64kb:0.1",
            "",
            "A script of faults:",
            "  5s    node-3     stall 2s",
            "  8s    node-*     spoil 3s 10%%",
            "  10s   discovery  down 8s",
            "  12s   proxy-1    kill 1s"
        })
final class DemoCommand implements Callable<Integer> {
    private static final double LEAD_IN_SHARE = 0.25;

    @Spec
    private CommandSpec spec;

    @Mixin
    private FleetOptions fleetOptions;

    @Mixin
    private TrafficOptions traffic;

    @Option(
            names = "--connections",
            paramLabel = "N",
            defaultValue = "100",
            description = "Clients' connections at most (default: ${DEFAULT-VALUE}).")
    private int connections;

    @Option(
            names = "--depth",
            paramLabel = "N",
            defaultValue = "1",
            description = "Requests on one connection at most; with few connections they are pipelined "
                    + "(default: ${DEFAULT-VALUE}).")
    private int depth;

    @Option(
            names = "--warm-up",
            paramLabel = "TIME",
            defaultValue = "1s",
            description = "At the start, held to the rules and not counted (default: ${DEFAULT-VALUE}).")
    private Duration warmUp;

    @Option(
            names = "--lead-in",
            paramLabel = "TIME",
            defaultValue = "0s",
            description = "Before all that, a quarter of the rate for so long, held to the rules too: a fleet in "
                    + "service was not started a second ago. Faults count from its end (default: ${DEFAULT-VALUE}).")
    private Duration leadIn;

    @Option(
            names = "--upgrade",
            paramLabel = "TIME",
            description = "A new process takes over from the next proxy each time so much has passed.")
    private Duration upgrade;

    @Option(
            names = "--release",
            paramLabel = "TIME",
            description = "At this time a release goes wrong: eight in ten proxies are killed in one moment, and start "
                    + "together a second later.")
    private Duration release;

    @Option(
            names = "--replace",
            paramLabel = "TIME",
            description =
                    "The next node dies each time so much has passed, and is back a second later, empty and cold.")
    private Duration replace;

    @Option(names = "--json", paramLabel = "FILE", description = "Writes figures and histograms.")
    private Path json;

    @Option(names = "--html", paramLabel = "FILE", description = "Writes a page with plots.")
    private Path html;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        FleetSpec fleetSpec = traffic.values.applyTo(fleetOptions.spec());
        List<Fault> faults = new ArrayList<>(fleetOptions.faults(fleetSpec));
        faults.addAll(optionFaults(fleetSpec));
        out.printf("starting %d nodes, an origin, discovery and %d proxies%n", fleetSpec.nodes(), fleetSpec.proxies());
        out.flush();
        try (ProxiedFleet fleet = new ProxiedFleet(fleetSpec, fleetOptions.memoryMb, fleetOptions.edge)) {
            out.printf("front at %s; driving %.0f requests a second%n", fleet.front(), traffic.rate);
            if (leadIn.seconds() > 0) {
                // a different seed, so that the oracle does not mistake lead-in requests for those of the run
                try (Generator generator = generator(
                        fleet,
                        traffic.leadIn(fleetSpec.classes(), traffic.rate * LEAD_IN_SHARE, leadIn.seconds()),
                        0,
                        ~traffic.seed)) {
                    LoadRuns.run(generator, out, () -> "  lead-in");
                }
            }
            try (Generator generator =
                    generator(fleet, traffic.workload(fleetSpec.classes()), warmUp.seconds(), traffic.seed)) {
                fleet.play(faults);
                Report report = LoadRuns.run(
                        generator,
                        out,
                        () -> fleet.watch().text() + brokenRules(fleet.fleet().verdict()));
                fleet.fleet().awaitGrace();
                Oracle.Verdict verdict = fleet.fleet().verdict();
                out.println();
                out.print(report.text());
                print(out, fleet, verdict);
                LoadRuns.write(report, "Demo", json, null, html);
                return verdict.held() ? Cli.OK : Cli.FAILED;
            }
        }
    }

    /** Faults from the options, in addition to those of the script. */
    private List<Fault> optionFaults(FleetSpec of) {
        List<Fault> faults = new ArrayList<>();
        if (upgrade != null) {
            faults.addAll(FaultSchedules.upgrades(upgrade.ms(), traffic.length.ms(), of.proxies()));
        }
        if (release != null) {
            faults.addAll(FaultSchedules.release(release.ms(), of.proxies()));
        }
        if (replace != null) {
            faults.addAll(FaultSchedules.replacements(replace.ms(), traffic.length.ms(), of.nodes()));
        }
        return faults;
    }

    private Generator generator(ProxiedFleet fleet, Workload workload, double warmUpSeconds, long seed) {
        Generator.Settings settings = new Generator.Settings(
                List.of(fleet.front()),
                fleet.fleet().spec().classes(),
                connections,
                depth,
                200_000,
                traffic.connectionStay.seconds(),
                warmUpSeconds,
                10,
                seed);
        return new Generator(settings, workload, new OracleObserver(fleet.fleet(), fleet::takenBy));
    }

    private static String brokenRules(Oracle.Verdict verdict) {
        return verdict.held() ? "" : "  BROKEN " + verdict.breaches();
    }

    private static void print(PrintWriter out, ProxiedFleet fleet, Oracle.Verdict verdict) {
        out.println();
        int i = 0;
        for (FrontLayer.Share s : fleet.shares()) {
            out.printf(
                    "%-10s %6d connections dealt%s%n",
                    fleet.proxies().get(i++).name(), s.dealt(), s.used() ? "" : ", not in use");
        }
        if (fleet.watch().taken() + fleet.watch().turnedDown() > 0) {
            out.printf(
                    "files were taken %d times at SIGHUP, and turned down %d times%n",
                    fleet.watch().taken(), fleet.watch().turnedDown());
        }
        if (fleet.watch().looks() > 0) {
            out.printf(
                    "drains were looked at %d times, and progress had fallen %d times%n",
                    fleet.watch().looks(), fleet.watch().backward());
        }
        out.printf(
                "%,d writes took effect, %,d fetches at the origin, %,d requests went down with a killed proxy, "
                        + "%,d were taken by none%n%n",
                verdict.effects(), fleet.fleet().fetches(), verdict.excused(), verdict.untaken());
        for (Oracle.Rule rule : Oracle.Rule.values()) {
            long n = verdict.breaches().getOrDefault(rule, 0L);
            out.printf(
                    "%-6s %-18s %s%n",
                    n == 0 ? "held" : "BROKEN",
                    rule,
                    n == 0
                            ? ""
                            : n + " times: " + rule.meaning() + "; "
                                    + verdict.examples().get(rule));
        }
        out.flush();
    }
}
