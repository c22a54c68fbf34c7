package cacheproxy.cli;

import cacheproxy.config.Problems;
import cacheproxy.emulator.Layout;
import cacheproxy.lab.LabRun;
import cacheproxy.lab.Outcome;
import cacheproxy.lab.OutcomeText;
import cacheproxy.lab.Scenario;
import cacheproxy.lab.ScenarioFile;
import cacheproxy.lab.SoakPlan;
import cacheproxy.lab.SoakRun;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code lab}: fault scenarios with several processes. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Starts several processes of the program before stand-ins, cuts them apart, and judges what comes of it.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  lab list",
            "  lab check lab/zone-cut.conf",
            "  lab run lab/zone-cut.conf --seed 3 --repeat 3 --html zone.html"
        })
final class LabCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "one of run, soak, check and list is missing");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private void checkRepeat(int repeat) {
        if (repeat < 1 || repeat > 1000) {
            throw new ParameterException(spec.commandLine(), "--repeat takes 1 to 1000, not " + repeat);
        }
    }

    private ScenarioFile read(Path file) {
        Problems problems = new Problems();
        ScenarioFile scenario = ScenarioFile.read(file, problems);
        if (problems.none()) {
            return scenario;
        }
        spec.commandLine().getErr().print(problems.text());
        spec.commandLine().getErr().flush();
        return null;
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = {
                "Plays scenarios one after another.",
                "Exit codes: 0 all that was expected held, 1 something was broken, 2 wrong use, 3 the machine was too busy to judge."
            })
    private int play(
            @Parameters(arity = "1..*", paramLabel = "FILE") List<Path> files,
            @Option(
                            names = "--seed",
                            paramLabel = "N",
                            defaultValue = "1",
                            description = "Draws requests, speeds and faults (default: ${DEFAULT-VALUE}).")
                    long seed,
            @Option(
                            names = "--repeat",
                            paramLabel = "N",
                            defaultValue = "1",
                            description = "So many seeds from that one on (default: ${DEFAULT-VALUE}).")
                    int repeat,
            @Option(
                            names = "--without",
                            paramLabel = "PART",
                            split = ",",
                            description = "Plays proxies without what the file has "
                                    + "them run with, to be held against it: ${COMPLETION-CANDIDATES}.")
                    Set<Layout.Part> without,
            @Option(names = "--json", paramLabel = "OUT", description = "Writes verdicts, figures and series.")
                    Path json,
            @Option(names = "--html", paramLabel = "OUT", description = "Writes a page with time lines.") Path html,
            @Option(names = "--logs", paramLabel = "DIR", description = "Keeps the proxies' logs.") Path logs)
            throws IOException, InterruptedException {
        List<ScenarioFile> scenarios = new ArrayList<>();
        for (Path file : files) {
            scenarios.add(read(file));
        }
        if (scenarios.contains(null)) {
            return Cli.USAGE;
        }
        checkRepeat(repeat);
        @SuppressWarnings("SystemConsoleNull") // holds on Java 17; from 22 on, Console.isTerminal() is to be asked
        boolean terminal = System.console() != null;
        Consumer<String> progress = line -> {
            if (terminal) {
                out().println(line);
                out().flush();
            }
        };
        List<Outcome> outcomes = new ArrayList<>();
        for (ScenarioFile file : scenarios) {
            for (long s = seed; s < seed + repeat; s++) {
                Scenario scenario = file.scenario(s, without == null ? Set.of() : without);
                Path own = logs == null ? null : logs.resolve(scenario.name().replace(' ', '-') + "-" + s);
                Outcome outcome = new LabRun(scenario, s, own, progress).play();
                outcomes.add(outcome);
                out().print(OutcomeText.text(outcome));
                out().flush();
            }
        }
        if (json != null) {
            Files.writeString(json, OutcomeText.json(outcomes));
        }
        if (html != null) {
            Files.writeString(html, OutcomeText.html(outcomes));
        }
        return exitCode(outcomes);
    }

    private static int exitCode(List<Outcome> outcomes) {
        List<Outcome.Judgement> all = outcomes.stream().map(Outcome::judgement).toList();
        return all.contains(Outcome.Judgement.BROKEN)
                ? Cli.FAILED
                : all.contains(Outcome.Judgement.TOO_BUSY) ? Cli.INCONCLUSIVE : Cli.OK;
    }

    @Command(
            name = "soak",
            mixinStandardHelpOptions = true,
            description = {
                "Plays random, overlapping faults of a seed over several proxies, with bad clients beside.",
                "Exit codes: 0 all held, 1 a seed broke something, 2 wrong use, 3 the machine was too busy to judge."
            })
    private int soak(
            @Option(
                            names = "--proxies",
                            paramLabel = "N",
                            defaultValue = "6",
                            description = "Processes, 2 to 64 (default: ${DEFAULT-VALUE}).")
                    int proxies,
            @Option(
                            names = "--for",
                            paramLabel = "TIME",
                            defaultValue = "60s",
                            description = "How long each seed lasts, 15s at least (default: ${DEFAULT-VALUE}).")
                    Duration length,
            @Option(
                            names = "--seed",
                            paramLabel = "N",
                            defaultValue = "1",
                            description = "Draws the faults (default: ${DEFAULT-VALUE}).")
                    long seed,
            @Option(
                            names = "--repeat",
                            paramLabel = "N",
                            defaultValue = "1",
                            description = "So many seeds from that one on (default: ${DEFAULT-VALUE}).")
                    int repeat,
            @Option(
                            names = "--kinds",
                            paramLabel = "KIND",
                            split = ",",
                            description = "What goes wrong (default: all): ${COMPLETION-CANDIDATES}.")
                    Set<SoakPlan.Kind> kinds,
            @Option(names = "--plan", paramLabel = "FILE", description = "Plays this plan, and draws none.") Path plan,
            @Option(names = "--logs", paramLabel = "DIR", description = "Keeps the proxies' logs.") Path logs)
            throws IOException, InterruptedException {
        checkRepeat(repeat);
        Set<SoakPlan.Kind> all = kinds == null ? EnumSet.allOf(SoakPlan.Kind.class) : kinds;
        List<Outcome> outcomes = new ArrayList<>();
        boolean held = true;
        for (long s = seed; s < seed + repeat; s++) {
            Path file = plan;
            try {
                if (plan == null) {
                    file = Files.createTempFile("soak-" + s + "-", ".conf");
                    Files.writeString(file, SoakPlan.text(proxies, length.ms(), s, all));
                }
                Path own = logs == null ? null : logs.resolve("soak-" + s);
                SoakRun.Result result = SoakRun.play(file, s, all, own, line -> {});
                out().print(OutcomeText.text(result.outcome()));
                result.violations().forEach(v -> out().println("  BROKEN " + v));
                out().printf("  %d bad clients were owed an answer%n", result.owed());
                outcomes.add(result.outcome());
                held &= result.held();
                if (result.held() && plan == null) {
                    Files.delete(file);
                } else {
                    out().printf("  again: lab soak --plan %s --seed %d%n", file, s);
                }
                out().flush();
            } catch (IllegalArgumentException e) {
                throw new ParameterException(spec.commandLine(), e.getMessage(), e);
            }
        }
        return held ? Cli.OK : exitCode(outcomes) == Cli.INCONCLUSIVE ? Cli.INCONCLUSIVE : Cli.FAILED;
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Tells all mistakes of scenarios without playing them. Exit codes: 0 none, 1 some.")
    private int check(@Parameters(arity = "1..*", paramLabel = "FILE") List<Path> files) {
        boolean valid = true;
        for (Path file : files) {
            ScenarioFile scenario = read(file);
            valid &= scenario != null;
            if (scenario != null) {
                out().println(summary(file, scenario));
            }
        }
        out().flush();
        return valid ? Cli.OK : Cli.FAILED;
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Tells what stands in a folder.")
    private int list(
            @Parameters(
                            arity = "0..1",
                            paramLabel = "DIR",
                            defaultValue = "lab",
                            description = "The folder (default: ${DEFAULT-VALUE}).")
                    Path folder)
            throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return check(
                    files.filter(f -> f.toString().endsWith(".conf")).sorted().toList());
        }
    }

    private static String summary(Path file, ScenarioFile scenario) {
        Scenario s = scenario.scenario(1);
        return String.format(
                "%-28s %d proxies, %d nodes, %d zones, %.0f requests/s for %.0f s, %d faults: %s",
                file,
                s.fleet().proxies(),
                s.fleet().nodes(),
                s.fleet().layout().zones().size(),
                s.rate(),
                s.forMs() / 1000,
                s.bands().size(),
                s.bands().stream().map(Scenario.Band::name).distinct().toList());
    }
}
