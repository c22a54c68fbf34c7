package cacheproxy.cli;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The root command. */
@Command(
        name = "cacheproxy",
        mixinStandardHelpOptions = true,
        version = "cacheproxy 0.1.0",
        description = "A proxy in front of caching nodes and one slow origin, and the tools to see it work.",
        subcommands = {
            DemoCommand.class,
            FleetCommand.class,
            LoadCommand.class,
            StatusCommand.class,
            DrainCommand.class,
            ConfigCommand.class,
            FiguresCommand.class,
            QuotaCommand.class,
            ModelCommand.class,
            LabCommand.class,
            ZoneCommand.class,
            StateCommand.class
        },
        footerHeading = "%nWithout options, and set by the environment (see README):%n",
        footer = {
            "  serve   one proxy, configured by the file that BALANCER_CONFIG names",
            "          [--edge FILE] [--control PATH] [--figures 5s] [--view on] [--zones on]",
            "  drill   the decision module on the simulator's wire, on standard input and output",
            "  train   starts a proxy and ends it, so that a build can archive its classes",
            "",
            "Examples:",
            "  java -jar target/cacheproxy.jar demo",
            "  java -jar target/cacheproxy.jar load --target 127.0.0.1:11211 --rate 1000 --for 30s --html out.html"
        })
public final class Cli implements Runnable {
    /** Exit codes: success, a violated rule or failed run, wrong usage, a run whose schedule was not kept. */
    static final int OK = 0;

    static final int FAILED = 1;
    static final int USAGE = 2;
    static final int INCONCLUSIVE = 3;

    @Spec
    private CommandSpec spec;

    private Cli() {}

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Runs a command line and returns the exit code. */
    public static int run(String... args) {
        return commandLine().execute(args);
    }

    /** Runs a command line with the given output streams; for tests. */
    static int run(PrintWriter out, PrintWriter err, String... args) {
        return commandLine().setOut(out).setErr(err).execute(args);
    }

    static CommandLine commandLine() {
        return new CommandLine(new Cli())
                .registerConverter(Duration.class, Duration::parse)
                .registerConverter(Target.class, Target::parse)
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler((e, command, result) -> {
                    boolean usage = e instanceof IllegalArgumentException;
                    command.getErr()
                            .println(command.getCommandName() + ": " + (e.getMessage() == null ? e : e.getMessage()));
                    command.getErr().flush();
                    return usage ? USAGE : FAILED;
                });
    }
}
