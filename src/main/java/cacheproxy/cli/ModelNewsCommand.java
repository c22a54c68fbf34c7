package cacheproxy.cli;

import cacheproxy.model.NewsPlay;
import cacheproxy.model.NewsPlay.Failure;
import cacheproxy.model.NewsPlay.Result;
import cacheproxy.model.NewsPlay.Setup;
import cacheproxy.model.NewsPlay.Sharing;
import java.io.PrintWriter;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code model news}: how fast all instances learn of a change after failed polls of the endpoint list. */
@Command(
        name = "news",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Plays instances that ask one discovery for the list, by the failure before a change, in virtual time.",
        footerHeading = "%nExamples:%n",
        footer = "  model news --instances 30 --seeds 100")
final class ModelNewsCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--instances",
            paramLabel = "N",
            defaultValue = "1,7,20,30,100",
            split = ",",
            description = "1 to 2000 each (default: ${DEFAULT-VALUE}).")
    private List<Integer> instances;

    @Option(
            names = "--calls",
            paramLabel = "N",
            defaultValue = "3",
            description = "New calls that discovery takes a second, of all together (default: ${DEFAULT-VALUE}).")
    private double calls;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "20",
            description = "So many seeds from 1 on, side by side (default: ${DEFAULT-VALUE}).")
    private int seeds;

    @Override
    public Integer call() {
        if (instances.stream().anyMatch(n -> n < 1 || n > 2000) || seeds < 1 || seeds > 100_000 || !(calls > 0)) {
            throw new ParameterException(
                    spec.commandLine(), "it takes 1 to 2000 instances, 1 to 100000 seeds and calls over 0");
        }
        PrintWriter out = spec.commandLine().getOut();
        out.printf(
                Locale.ROOT,
                "%-15s %-9s %9s  %8s %8s  %9s %8s %8s%n",
                "failure",
                "sharing",
                "instances",
                "median s",
                "worst s",
                "calls/s",
                "refused",
                "messages");
        for (Failure failure : Failure.values()) {
            for (int n : instances) {
                Arrays.stream(Sharing.values()).forEach(sharing -> row(out, failure, sharing, n));
            }
        }
        out.flush();
        return Cli.OK;
    }

    private void row(PrintWriter out, Failure failure, Sharing sharing, int n) {
        List<Result> results = LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> NewsPlay.of(new Setup(n, failure, sharing, calls, seed)))
                .toList();
        double[] medians =
                results.stream().mapToDouble(Result::medianMs).sorted().toArray();
        out.printf(
                Locale.ROOT,
                "%-15s %-9s %9d  %8.2f %8.2f  %9.1f %8.2f %8.0f%n",
                failure.name().toLowerCase(Locale.ROOT),
                sharing.name().toLowerCase(Locale.ROOT),
                n,
                medians[medians.length / 2] / 1000,
                results.stream().mapToDouble(Result::worstMs).max().orElse(0) / 1000,
                results.stream().mapToDouble(Result::newCallsASecond).average().orElse(0),
                results.stream().mapToDouble(Result::turnedAway).average().orElse(0),
                results.stream().mapToLong(Result::messages).average().orElse(0));
    }
}
