package cacheproxy.cli;

import cacheproxy.model.ColdCase;
import cacheproxy.model.ColdRamp;
import cacheproxy.model.ColdStudy;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code model cold}: the load of a whole fleet on nodes that have just started. */
@Command(
        name = "cold",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Plays nodes that start cold in virtual time, and tells the fullest window of each as a part of "
                    + "what makes it fall: median, 99th percentile and most, and how many are over it; the most and how "
                    + "many over by instances that had been told of the start, how many first falls break the rule by "
                    + "that, and who filled the fullest window of these.",
            "Exit codes: 0 no fall breaks the rule, 1 some do, 2 wrong use."
        },
        footerHeading = "%nExamples:%n",
        footer = "  model cold --instances 30 --nodes 40 --case keys --seeds 1000")
final class ModelColdCommand implements Callable<Integer> {
    private static final String EVERY = "every";

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--instances",
            paramLabel = "N",
            defaultValue = "30",
            description = "Proxies, 1 to 1000 (default: ${DEFAULT-VALUE}).")
    private int instances;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            defaultValue = "40",
            description = "Cache nodes, 2 to 2000 (default: ${DEFAULT-VALUE}).")
    private int nodes;

    @Option(
            names = "--case",
            paramLabel = "CASE",
            defaultValue = EVERY,
            description = "plain, keys, hot_key, burst, repeats, unmarked, uneven, late, all together, or every one "
                    + "(default: ${DEFAULT-VALUE}).")
    private String what;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "The first seed (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "10",
            description = "So many from that one on, side by side (default: ${DEFAULT-VALUE}).")
    private int seeds;

    @Override
    public Integer call() {
        List<ColdCase> cases = cases();
        if (instances < 1 || instances > 1000 || nodes < 2 || nodes > 2000 || seeds < 1 || seeds > 100_000) {
            throw new ParameterException(
                    spec.commandLine(),
                    "it takes 1 to 1000 instances before 2 to 2000 nodes, " + "and 1 to 100000 seeds");
        }
        PrintWriter out = spec.commandLine().getOut();
        out.print(ColdStudy.head());
        boolean kept = true;
        for (ColdCase c : cases) {
            ColdStudy study = ColdStudy.of(c, instances, nodes, seed, seeds);
            out.print(study.text());
            out.flush();
            kept &= Stream.of(ColdRamp.values()).allMatch(ramp -> study.broken(ramp) == 0);
        }
        return kept ? Cli.OK : Cli.FAILED;
    }

    private List<ColdCase> cases() {
        if (what.equals(EVERY)) {
            return List.of(ColdCase.values());
        }
        return Stream.of(ColdCase.values())
                .filter(c -> name(c).equals(what))
                .findFirst()
                .map(List::of)
                .orElseThrow(() -> new ParameterException(
                        spec.commandLine(), "there is no case '" + what + "'; it takes " + names() + " or " + EVERY));
    }

    private static String names() {
        return Stream.of(ColdCase.values()).map(ModelColdCommand::name).collect(Collectors.joining(", "));
    }

    private static String name(ColdCase c) {
        return c.name().toLowerCase(Locale.ROOT);
    }
}
