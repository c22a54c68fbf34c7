package cacheproxy.cli;

import cacheproxy.model.check.Explorer;
import cacheproxy.model.check.MemberProtocol;
import cacheproxy.model.check.ZoneProtocol;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code model check}: explores all reachable states of a small system. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Explores all states that three instances with the real knowledge of each other can reach while messages "
                    + "are lost, doubled and overtaken, and processes die and start again; with --zones, three that decide of two "
                    + "zones.",
            "Exit codes: 0 nothing broken, 1 something broken, 2 wrong use."
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  model check --messages 2 --suspicions 2 --deaths 1 --states 2000000",
            "  model check --zones --messages 2 --decisions 3 --deaths 1"
        })
final class ModelCheckCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--messages",
            paramLabel = "N",
            defaultValue = "1",
            description = "Under way at once, 1 to 4 (default: ${DEFAULT-VALUE}).")
    private int messages;

    @Option(
            names = "--suspicions",
            paramLabel = "N",
            defaultValue = "2",
            description = "Of anybody by anybody in all, 0 to 8 (default: ${DEFAULT-VALUE}).")
    private int suspicions;

    @Option(
            names = "--deaths",
            paramLabel = "N",
            defaultValue = "2",
            description = "Of processes in all, 0 to 4 (default: ${DEFAULT-VALUE}).")
    private int deaths;

    @Option(names = "--zones", description = "What is decided of zones instead of who lives.")
    private boolean zones;

    @Option(
            names = "--decisions",
            paramLabel = "N",
            defaultValue = "3",
            description = "Of zones in all, 0 to 6 (default: ${DEFAULT-VALUE}).")
    private int decisions;

    @Option(
            names = "--states",
            paramLabel = "N",
            defaultValue = "1000000",
            description = "Gives up after so many (default: ${DEFAULT-VALUE}).")
    private long states;

    @Override
    public Integer call() {
        if (messages < 1
                || messages > 4
                || suspicions < 0
                || suspicions > 8
                || deaths < 0
                || deaths > 4
                || decisions < 0
                || decisions > 6
                || states < 1) {
            throw new ParameterException(
                    spec.commandLine(),
                    "it takes 1 to 4 messages, up to 8 suspicions, 4 deaths and 6 " + "decisions, and a state or more");
        }
        long began = System.nanoTime();
        Explorer.Result result = zones
                ? new Explorer<>(ZoneProtocol.real(new ZoneProtocol.Bounds(messages, decisions, deaths))).run(states)
                : new Explorer<>(MemberProtocol.real(new MemberProtocol.Bounds(messages, suspicions, deaths)))
                        .run(states);
        spec.commandLine().getOut().printf("%s%.1f s%n", result.text(), (System.nanoTime() - began) / 1e9);
        spec.commandLine().getOut().flush();
        return result.broken() == null ? Cli.OK : Cli.FAILED;
    }
}
