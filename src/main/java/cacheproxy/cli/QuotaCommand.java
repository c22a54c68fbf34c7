package cacheproxy.cli;

import cacheproxy.config.ConfigFile;
import cacheproxy.config.Configuration;
import cacheproxy.config.Problems;
import cacheproxy.config.edge.EdgeFile;
import cacheproxy.config.edge.QuotaSections;
import cacheproxy.quota.QuotaReplay;
import cacheproxy.quota.QuotaSpec;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code quota}: evaluates quotas offline, without a proxy. */
@Command(
        name = "quota",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Tries the quotas of a file for serve --edge.",
        footerHeading = "%nExamples:%n",
        footer = "  quota replay --edge deploy/quotas.conf trace.csv --decisions out.csv")
final class QuotaCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "replay is missing");
    }

    @Command(
            name = "replay",
            mixinStandardHelpOptions = true,
            description = {
                "Runs the decisions over a trace in virtual time. Its columns are time_ms,org,app,device,bytes,write "
                        + "(write is 0 or 1), sorted by time; a first line that begins with time_ms is a header. The same with "
                        + "admitted (0 or 1) and retry_after_ms behind it is what comes out.",
                "Exit codes: 0 done, 1 a file has mistakes, 2 wrong use."
            })
    private int replay(
            @Parameters(paramLabel = "TRACE") Path trace,
            @Option(names = "--edge", required = true, paramLabel = "FILE", description = "The file with quotas.")
                    Path edge,
            @Option(
                            names = "--decisions",
                            paramLabel = "OUT",
                            description = "Where what was decided goes, line by line.")
                    Path decisions,
            @Option(
                            names = "--seed",
                            paramLabel = "N",
                            defaultValue = "1",
                            description = "Of how times to come back are spread (default: ${DEFAULT-VALUE}).")
                    long seed)
            throws IOException {
        Problems problems = new Problems();
        Configuration c = ConfigFile.read(edge, EdgeFile.schema(null), problems);
        PrintWriter err = spec.commandLine().getErr();
        if (!problems.none()) {
            err.print(problems.text());
            err.flush();
            return Cli.FAILED;
        }
        QuotaSpec quotas = QuotaSections.quotas(c);
        if (quotas == null) {
            err.println(edge + " has no quotas; write quotas { ... }");
            return Cli.FAILED;
        }
        QuotaReplay replay = new QuotaReplay(trace.toString(), quotas, seed);
        try (BufferedReader in = Files.newBufferedReader(trace);
                BufferedWriter out = decisions == null ? null : Files.newBufferedWriter(decisions)) {
            if (out != null) {
                out.write(QuotaReplay.HEADER + ",admitted,retry_after_ms\n");
            }
            for (String line; (line = in.readLine()) != null; ) {
                String decided = replay.line(line);
                if (decided != null && out != null) {
                    out.write(decided);
                    out.write('\n');
                }
            }
        } catch (QuotaReplay.TraceException e) {
            err.println(e.getMessage());
            return Cli.FAILED;
        }
        replay.table().forEach(spec.commandLine().getOut()::println);
        spec.commandLine().getOut().flush();
        return Cli.OK;
    }
}
