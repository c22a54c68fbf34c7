package cacheproxy.cli;

import cacheproxy.model.Day;
import cacheproxy.model.FleetDraw;
import cacheproxy.model.PlayReport;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
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

/** {@code model}: simulates days of a whole fleet in virtual time. */
@Command(
        name = "model",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        subcommands = {
            ModelViewCommand.class,
            ModelZonesCommand.class,
            ModelNewsCommand.class,
            ModelColdCommand.class,
            ModelCheckCommand.class
        },
        description = {
            "Plays a day of a whole fleet in virtual time, with the real decision modules, and holds what they do "
                    + "against the four rules. The same seed gives the same run.",
            "Exit codes: 0 all rules kept, 1 a rule broken, 2 wrong use."
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  model --instances 100 --nodes 200 --day split --seed 3 --html split.html",
            "  model --instances 30 --nodes 60 --day all --seed 1 --seeds 200"
        })
final class ModelCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--instances",
            paramLabel = "N",
            defaultValue = "100",
            description = "Proxies, 1 to 4096 (default: ${DEFAULT-VALUE}).")
    private int instances;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            defaultValue = "200",
            description = "Cache nodes, 2 to 4096 (default: ${DEFAULT-VALUE}).")
    private int nodes;

    @Option(
            names = "--day",
            paramLabel = "DAY",
            defaultValue = "calm",
            description = "calm, roll, herd, zone, split, join, soak, or all but soak (default: ${DEFAULT-VALUE}).")
    private String day;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Draws the deployment and all that happens (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "1",
            description = "So many seeds from that one on, side by side (default: ${DEFAULT-VALUE}).")
    private int seeds;

    @Option(
            names = "--for",
            paramLabel = "TIME",
            description = "How long a day lasts, such as 45m (default: the day's own).")
    private Duration length;

    @Option(
            names = "--leave-zones",
            description = "The proxies keep a view of each other, and leave zones by it as a fleet.")
    private boolean leaves;

    @Option(names = "--json", paramLabel = "FILE", description = "All figures, second by second.")
    private Path json;

    @Option(names = "--html", paramLabel = "FILE", description = "A page with tables and charts.")
    private Path html;

    @Override
    public Integer call() throws IOException {
        List<Day> days = days();
        if (seeds < 1 || seeds > 100_000) {
            throw new ParameterException(spec.commandLine(), "--seeds takes 1 to 100000, not " + seeds);
        }
        try {
            FleetDraw.of(instances, nodes, seed);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
        List<PlayReport> reports = days.stream()
                .flatMap(d -> LongStream.range(seed, seed + seeds).mapToObj(s -> new Object() {
                    final Day what = d;
                    final long drawn = s;
                }))
                .parallel()
                .map(w -> PlayReport.of(
                        w.what,
                        FleetDraw.of(instances, nodes, w.drawn),
                        length == null ? w.what.seconds() : length.seconds(),
                        leaves))
                .toList();
        PrintWriter out = spec.commandLine().getOut();
        if (reports.size() == 1) {
            out.print(reports.get(0).text());
        } else {
            reports.forEach(r -> out.println(r.line()));
            days.forEach(d ->
                    summary(out, d, reports.stream().filter(r -> r.day() == d).toList()));
        }
        out.flush();
        if (json != null) {
            JsonArray all = new JsonArray();
            reports.forEach(r -> all.add(r.json()));
            Files.writeString(
                    json, new GsonBuilder().setPrettyPrinting().create().toJson(all) + "\n");
        }
        if (html != null) {
            Files.writeString(html, PlayReport.html(reports));
        }
        return reports.stream().allMatch(r -> r.rules().kept()) ? Cli.OK : Cli.FAILED;
    }

    private List<Day> days() {
        if (day.equals("all")) {
            return Arrays.stream(Day.values()).filter(d -> d != Day.SOAK).toList();
        }
        return Arrays.stream(Day.values())
                .filter(d -> d.name().toLowerCase(Locale.ROOT).equals(day))
                .findFirst()
                .map(List::of)
                .orElseThrow(() -> new ParameterException(
                        spec.commandLine(),
                        "there is no day '" + day + "'; it takes calm, roll, herd, zone, split, join, soak or all"));
    }

    private static void summary(PrintWriter out, Day d, List<PlayReport> of) {
        double[] worth =
                of.stream().mapToDouble(r -> r.tally().worth()).sorted().toArray();
        out.printf(
                Locale.ROOT,
                "%-6s %d seeds: worth least %.3f, middle %.3f, most %.3f; rules broken on %d%n",
                d.name().toLowerCase(Locale.ROOT),
                worth.length,
                worth[0],
                worth[worth.length / 2],
                worth[worth.length - 1],
                of.stream().filter(r -> !r.rules().kept()).count());
    }
}
