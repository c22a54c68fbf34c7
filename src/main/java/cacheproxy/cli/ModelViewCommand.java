package cacheproxy.cli;

import cacheproxy.model.ViewStudy;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code model view}: convergence time of the membership view. */
@Command(
        name = "view",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Plays instances that keep a view of each other in virtual time: how soon all hold the same.",
        footerHeading = "%nExamples:%n",
        footer = "  model view --instances 100 --seeds 200 --loss 0.2")
final class ModelViewCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--instances",
            paramLabel = "N",
            defaultValue = "100",
            description = "4 to 1000 (default: ${DEFAULT-VALUE}).")
    private int instances;

    @Option(
            names = "--loss",
            paramLabel = "SHARE",
            defaultValue = "0",
            description = "Of messages, 0 to 0.9 (default: ${DEFAULT-VALUE}).")
    private double loss;

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

    @Option(
            names = "--quiet",
            paramLabel = "TIME",
            defaultValue = "10s",
            description = "How long nothing happens, watched for false deaths (default: ${DEFAULT-VALUE}).")
    private Duration quiet;

    @Override
    public Integer call() {
        if (instances < 4
                || instances > 4096
                || !(loss >= 0 && loss <= 0.9)
                || seeds < 1
                || seeds > 100_000
                || quiet.ms() < 1000) {
            throw new ParameterException(
                    spec.commandLine(),
                    "it takes 4 to 4096 instances, a loss of 0 to 0.9, 1 to 100000 "
                            + "seeds and a second or more of quiet");
        }
        spec.commandLine()
                .getOut()
                .print(ViewStudy.of(instances, loss, seed, seeds, quiet.ms()).text());
        spec.commandLine().getOut().flush();
        return Cli.OK;
    }
}
