package cacheproxy.cli;

import cacheproxy.control.ControlClient;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code zone}: shows the fleet's zone decisions and sends operator orders, which apply to the whole fleet. */
@Command(
        name = "zone",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Shows how far zones are open, and gives orders. An order that is given to one proxy holds at all that "
                    + "hear of it, and outlives the proxy that took it. Needs serve --zones on.",
            "Exit codes: 0 done, 1 it could not be, 2 wrong use."
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  zone status --control /run/proxy.sock",
            "  zone leave north --dry-run --control /run/proxy.sock",
            "  zone leave north --over 30s --control /run/proxy.sock",
            "  zone return north --control /run/proxy.sock"
        })
final class ZoneCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "one of status, leave, return, hold and release is missing");
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "How each zone stands, as one proxy has it.")
    private int status(@Mixin ControlOption control, @Option(names = "--json", description = "As JSON.") boolean json)
            throws IOException {
        try (ControlClient client = control.connect()) {
            JsonObject zones = client.call(ControlClient.request("status")).getAsJsonObject("zones");
            return print(zones, json);
        }
    }

    @Command(
            name = "leave",
            mixinStandardHelpOptions = true,
            description = "Has the fleet leave a zone until it is returned to or released.")
    private int leave(
            @Parameters(paramLabel = "NAME") String zone,
            @Mixin ControlOption control,
            @Option(names = "--over", paramLabel = "TIME", description = "Step by step over this time, up to 75s.")
                    Duration over,
            @Option(names = "--dry-run", description = "Only tells what it would cost.") boolean dryRun)
            throws IOException {
        if (!dryRun) {
            return sendOrder("leave", zone, control, over);
        }
        try (ControlClient client = control.connect()) {
            JsonObject cost = client.call(request("cost", zone));
            PrintWriter out = spec.commandLine().getOut();
            out.printf(
                    Locale.ROOT,
                    "%.1f requests a second of this proxy would go to other zones; each key misses there once%n",
                    cost.get("moved_per_second").getAsDouble());
            if (cost.has("others_times")) {
                out.printf(
                        Locale.ROOT,
                        "the nodes of the other zones would have %.2f times their load%n",
                        cost.get("others_times").getAsDouble());
            }
            out.println(
                    cost.get("allowed").getAsBoolean()
                            ? "a third of all would still be open"
                            : "less than a third of all would be open, so it would be turned down");
            out.flush();
            return cost.get("allowed").getAsBoolean() ? Cli.OK : Cli.FAILED;
        }
    }

    @Command(
            name = "return",
            mixinStandardHelpOptions = true,
            description =
                    "Has the fleet return to a zone step by step, whatever is seen of it; then what is seen decides.")
    private int comeBack(@Parameters(paramLabel = "NAME") String zone, @Mixin ControlOption control)
            throws IOException {
        return sendOrder("return", zone, control, null);
    }

    @Command(
            name = "hold",
            mixinStandardHelpOptions = true,
            description = "Has a zone stay as far open as it is, whatever is seen of it, until it is released.")
    private int hold(@Parameters(paramLabel = "NAME") String zone, @Mixin ControlOption control) throws IOException {
        return sendOrder("hold", zone, control, null);
    }

    @Command(
            name = "release",
            mixinStandardHelpOptions = true,
            description = "Takes orders for a zone back: what is seen of it decides.")
    private int release(@Parameters(paramLabel = "NAME") String zone, @Mixin ControlOption control) throws IOException {
        return sendOrder("release", zone, control, null);
    }

    private static JsonObject request(String order, String zone) {
        JsonObject request = ControlClient.request("zone");
        request.addProperty("order", order);
        request.addProperty("zone", zone);
        return request;
    }

    private int sendOrder(String order, String zone, ControlOption control, Duration over) throws IOException {
        JsonObject request = request(order, zone);
        if (over != null) {
            request.addProperty("over_ms", over.ms());
        }
        try (ControlClient client = control.connect()) {
            return print(client.call(request), false);
        }
    }

    private int print(JsonObject zones, boolean json) {
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(zones);
        } else if (!zones.get("kept").getAsBoolean()) {
            out.println("this proxy decides nothing of zones; it was started without --zones on");
        } else {
            out.println(
                    zones.get("quorum").getAsBoolean()
                            ? "enough of the fleet is heard to decide for it"
                            : "too little of the fleet is heard: what was decided on evidence does not hold here");
            out.printf(
                    "%-14s%6s%8s  %-9s%7s  %-6s%-8s%8s  %s%n",
                    "zone", "open", "epoch", "cause", "leaves", "sight", "verdict", "since", "why");
            for (JsonElement e : zones.getAsJsonArray("zones")) {
                JsonObject z = e.getAsJsonObject();
                out.printf(
                        Locale.ROOT,
                        "%-14s%5.0f%%%8d  %-9s%7d  %-6s%-8s%8s  %s%n",
                        z.get("zone").getAsString(),
                        100 * z.get("open").getAsDouble(),
                        z.get("epoch").getAsInt(),
                        z.get("cause").getAsString(),
                        z.get("leaves").getAsInt(),
                        z.get("sight").getAsString(),
                        z.get("verdict").getAsString(),
                        z.has("since_s") ? z.get("since_s").getAsString() + "s" : "-",
                        z.get("why").getAsString());
            }
        }
        out.flush();
        return Cli.OK;
    }
}
