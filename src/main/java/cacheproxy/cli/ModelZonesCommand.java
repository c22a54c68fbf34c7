package cacheproxy.cli;

import cacheproxy.model.ZoneStudy;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code model zones}: how fast a fleet leaves a failed zone and returns to it. */
@Command(
        name = "zones",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Plays instances that leave a zone whose nodes die and return to it, in virtual time.",
        footerHeading = "%nExamples:%n",
        footer = "  model zones --instances 100 --seeds 200")
final class ModelZonesCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--instances",
            paramLabel = "N",
            defaultValue = "100",
            description = "4 to 1000, before twice as many nodes (default: ${DEFAULT-VALUE}).")
    private int instances;

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
        if (instances < 4 || instances > 4096 || seeds < 1 || seeds > 100_000) {
            throw new ParameterException(spec.commandLine(), "it takes 4 to 4096 instances and 1 to 100000 seeds");
        }
        spec.commandLine().getOut().print(ZoneStudy.of(instances, seed, seeds).text());
        spec.commandLine().getOut().flush();
        return Cli.OK;
    }
}
