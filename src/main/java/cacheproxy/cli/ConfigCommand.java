package cacheproxy.cli;

import cacheproxy.config.ConfigFile;
import cacheproxy.config.Configuration;
import cacheproxy.config.Problems;
import cacheproxy.config.Source;
import cacheproxy.config.edge.Changes;
import cacheproxy.config.edge.EdgeFile;
import cacheproxy.config.edge.Explanation;
import cacheproxy.config.edge.QuotaSections;
import cacheproxy.config.edge.RoutingSections;
import cacheproxy.proxy.ConfiguredEndpoints;
import cacheproxy.quota.QuotaSpec;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code config}: checks, formats, compares and explains edge configurations. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Checks, lays out, compares and explains a file for serve --edge.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  config check deploy/edge.conf",
            "  config check deploy/edge.conf --with proxy.json",
            "  config format --check deploy/edge.conf",
            "  config diff old.conf new.conf",
            "  config show --effective deploy/edge.conf",
            "  config explain deploy/edge.conf --key sub/7f3a --class seg-text --with proxy.json"
        })
final class ConfigCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "one of check, format, diff, show and explain is missing");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private PrintWriter err() {
        return spec.commandLine().getErr();
    }

    /** Reads the configuration; returns null after printing its mistakes. */
    private Configuration read(Path file, ConfiguredEndpoints endpoints) {
        Problems problems = new Problems();
        Configuration configuration =
                ConfigFile.read(file, EdgeFile.schema(endpoints == null ? null : endpoints.routableNames()), problems);
        return reportProblems(problems) ? null : configuration;
    }

    private boolean reportProblems(Problems problems) {
        if (problems.none()) {
            return false;
        }
        err().print(problems.text());
        err().println(problems.all().size() == 1 ? "1 mistake" : problems.all().size() + " mistakes");
        err().flush();
        return true;
    }

    private static ConfiguredEndpoints readEndpoints(Path with) {
        return with == null ? null : ConfiguredEndpoints.read(with.toString());
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Tells all mistakes of a file and what it includes. Exit codes: 0 none, 1 some.")
    private int check(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(
                            names = "--with",
                            paramLabel = "CONFIG",
                            description =
                                    "Checks names of classes, tenants, sites "
                                            + "and kinds against a proxy's configuration, and that each pool has a server of its list.")
                    Path with) {
        ConfiguredEndpoints endpoints = readEndpoints(with);
        Configuration c = read(file, endpoints);
        if (c == null) {
            return Cli.FAILED;
        }
        List<String> empty = endpoints == null ? List.of() : RoutingSections.emptyPools(c, endpoints.poolMembers());
        empty.forEach(err()::println);
        err().flush();
        if (!empty.isEmpty()) {
            return Cli.FAILED;
        }
        QuotaSpec quotas = QuotaSections.quotas(c);
        if (quotas != null) {
            out().printf(
                            "%s: quotas of %d organisations%n",
                            file, quotas.children().size());
        }
        out().printf(
                        "%s: %d pools, %d policies, %d routes, hash %s%n",
                        file,
                        c.of("pool").size(),
                        c.of("policy").size(),
                        c.of("route").size(),
                        c.hash());
        out().flush();
        return Cli.OK;
    }

    @Command(
            name = "format",
            mixinStandardHelpOptions = true,
            description = "Lays files out in place; comments stay and the meaning does. Exit codes: 0 done, 1 a file "
                    + "has mistakes, or with --check is laid out otherwise.")
    private int format(
            @Parameters(arity = "1..*", paramLabel = "FILE") List<Path> files,
            @Option(names = "--check", description = "Changes nothing, and names the files it would change.")
                    boolean check,
            @Option(names = "--stdout", description = "Prints the result, and changes nothing.") boolean stdout)
            throws IOException {
        boolean valid = true;
        for (Path file : files) {
            Problems problems = new Problems();
            String text;
            try {
                text = Files.readString(file);
            } catch (MalformedInputException e) {
                throw new IOException(file + " is not UTF-8");
            }
            String formatted = ConfigFile.format(new Source(file.toString(), text), problems);
            if (reportProblems(problems)) {
                valid = false;
            } else if (stdout) {
                out().print(formatted);
            } else if (!formatted.equals(text) && check) {
                out().println(file);
                valid = false;
            } else if (!formatted.equals(text)) {
                replace(file, formatted);
            }
        }
        out().flush();
        return valid ? Cli.OK : Cli.FAILED;
    }

    /** Replaces the file atomically, so that a concurrent reader never sees a partial file. */
    private static void replace(Path file, String text) throws IOException {
        Path real = file.toRealPath();
        Path next = Files.createTempFile(real.getParent(), real.getFileName().toString(), ".new");
        try {
            Files.writeString(next, text);
            Files.setPosixFilePermissions(next, Files.getPosixFilePermissions(real));
            Files.move(next, real, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } finally {
            Files.deleteIfExists(next);
        }
    }

    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = "Tells what two files have not alike in meaning, and for which traffic. Exit codes: 0 they "
                    + "mean the same, 1 they differ, 2 one has mistakes.")
    private int diff(@Parameters(paramLabel = "BEFORE") Path before, @Parameters(paramLabel = "AFTER") Path after) {
        Configuration a = read(before, null);
        Configuration b = read(after, null);
        if (a == null || b == null) {
            return Cli.USAGE;
        }
        List<String> lines = Changes.text(a, b);
        lines.forEach(out()::println);
        out().flush();
        return lines.isEmpty() ? Cli.OK : Cli.FAILED;
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Prints a file and its includes as one, with every value that holds and where it is set.")
    private int show(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--effective", required = true, description = "With defaults and what is built in.")
                    boolean effective) {
        Configuration c = read(file, null);
        if (c == null || !effective) {
            return Cli.FAILED;
        }
        out().print(ConfigFile.effective(c));
        out().flush();
        return Cli.OK;
    }

    @Command(
            name = "explain",
            mixinStandardHelpOptions = true,
            description = "Tells which route, pool, servers and policy a request would have, and why.")
    private int explain(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--key", required = true, paramLabel = "KEY", description = "The request's key.")
                    String key,
            @Option(names = "--class", paramLabel = "CLASS", description = "Its class.") String kind,
            @Option(names = "--tenant", paramLabel = "TENANT", description = "Whose it is.") String tenant,
            @Option(
                            names = "--front",
                            paramLabel = "FRONT",
                            defaultValue = "meta",
                            description =
                                    "Through which front it came: meta, http or mqtt (default: ${DEFAULT-VALUE}).")
                    String front,
            @Option(
                            names = "--with",
                            paramLabel = "CONFIG",
                            description = "A proxy's configuration, whose list of servers is used.")
                    Path with) {
        ConfiguredEndpoints endpoints = readEndpoints(with);
        Configuration c = read(file, endpoints);
        if (c == null) {
            return Cli.FAILED;
        }
        Explanation.text(RoutingSections.routing(c), endpoints, key, kind, tenant, front)
                .forEach(out()::println);
        out().flush();
        return Cli.OK;
    }
}
