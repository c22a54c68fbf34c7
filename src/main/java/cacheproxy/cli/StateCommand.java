package cacheproxy.cli;

import cacheproxy.state.OpenedState;
import cacheproxy.state.RecordStore;
import cacheproxy.state.StateFileHeader;
import cacheproxy.state.StateFolder;
import cacheproxy.state.StateReport;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code state}: the records in a state folder, and whether it is intact. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Shows, checks and repairs the folder that serve --state names.",
            "Exit codes: 0 sound, or repaired; 1 damaged, of no use, or in use; 2 wrong use."
        },
        footerHeading = "%nExamples:%n",
        footer = {"  state show /var/lib/proxy", "  state check /var/lib/proxy --json", "  state repair /var/lib/proxy"
        })
final class StateCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "one of show, check and repair is missing");
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description =
                    "What it holds, how old it is, and how far a process that starts now would use it. May be run beside one.")
    private int show(
            @Parameters(paramLabel = "FOLDER") Path path,
            @Option(names = "--json", description = "As JSON, with the records' bodies.") boolean json) {
        return print(inspect(path), json);
    }

    @Command(name = "check", mixinStandardHelpOptions = true, description = "Only what is wrong, if anything is.")
    private int check(
            @Parameters(paramLabel = "FOLDER") Path path,
            @Option(names = "--json", description = "As JSON.") boolean json) {
        StateReport report = inspect(path);
        return print(json ? report : withoutRecords(report), json);
    }

    @Command(
            name = "repair",
            mixinStandardHelpOptions = true,
            description = {
                "Writes what is sound as a whole snapshot; files of no use are laid aside as NAME.aside.",
                "Not while a process uses the folder."
            })
    private int repair(@Parameters(paramLabel = "FOLDER") Path path) throws IOException {
        try (StateFolder folder = folder(path)) {
            PrintWriter out = spec.commandLine().getOut();
            if (!folder.tryLock()) {
                out.println("a process uses " + path + "; it repairs its folder itself");
                out.flush();
                return Cli.FAILED;
            }
            OpenedState state = folder.read(null, null);
            out.println(repair(folder, state));
            state.findings().forEach(f -> out.println("was: " + f));
            out.flush();
            return Cli.OK;
        }
    }

    /** Writes the intact records as a snapshot, or sets unusable files aside; returns a message for the operator. */
    private static String repair(StateFolder folder, OpenedState state) throws IOException {
        StateFileHeader header = state.header();
        if (header == null) {
            folder.setAside();
            return "nothing could be used; what was there is laid aside, and a proxy starts from nothing here";
        }
        folder.write(new RecordStore(state, header.instance(), header.fleet()).nextWrite(0));
        return state.records().size() + " records are whole";
    }

    private static StateReport withoutRecords(StateReport report) {
        OpenedState state = report.state();
        return new StateReport(new OpenedState(state.header(), Map.of(), state.findings()), report.nowMs());
    }

    private StateFolder folder(Path path) {
        if (!Files.isDirectory(path)) {
            throw new ParameterException(spec.commandLine(), path + " is no folder");
        }
        return new StateFolder(path);
    }

    private StateReport inspect(Path path) {
        return new StateReport(folder(path).read(null, null), System.currentTimeMillis());
    }

    private int print(StateReport report, boolean json) {
        PrintWriter out = spec.commandLine().getOut();
        out.print(json ? report.toJson() + "\n" : report.toText());
        out.flush();
        return report.isIntact() ? Cli.OK : Cli.FAILED;
    }
}
