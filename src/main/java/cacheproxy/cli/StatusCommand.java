package cacheproxy.cli;

import cacheproxy.control.ControlClient;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code status}: prints the status of a running proxy by section. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Shows what a running proxy has open and how a drain goes.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  status --control /run/proxy.sock",
            "  status --control /run/proxy.sock --watch",
            "  status --control /run/proxy.sock --json",
            "  status --control /run/proxy.sock --members",
            "  status --control /run/proxy.sock --request b0b5ba59e523a680"
        })
final class StatusCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Mixin
    private ControlOption control;

    @Option(names = "--watch", description = "Once a second, until interrupted or the proxy ends.")
    private boolean watch;

    @Option(names = "--json", description = "As JSON, one line each time.")
    private boolean json;

    @Option(
            names = "--members",
            description = "Each instance of the fleet as this proxy sees it; needs serve --view on.")
    private boolean members;

    @Option(
            names = "--request",
            paramLabel = "ID",
            description = "The latest steps of the request with this id: attempts, what forbade them, how it ended.")
    private String request;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        try (ControlClient client = control.connect()) {
            if (request != null) {
                out.println(trace(client));
                return Cli.OK;
            }
            do {
                JsonObject status = client.call(ControlClient.request(members ? "view" : "status"));
                out.println(json ? status.toString() : members ? table(status) : text(status));
                out.flush();
                if (watch) {
                    TimeUnit.SECONDS.sleep(1);
                }
            } while (watch);
        }
        return Cli.OK;
    }

    private String trace(ControlClient client) throws IOException {
        JsonObject call = ControlClient.request("trace");
        call.addProperty("id", request);
        JsonObject trace = client.call(call);
        StringBuilder text = new StringBuilder("request ").append(request);
        appendFields(text, trace);
        return json ? trace.toString() : text.toString().stripTrailing();
    }

    private static void appendFields(StringBuilder text, JsonObject section) {
        section.entrySet().stream()
                .filter(e -> e.getValue().isJsonPrimitive())
                .forEach(e -> text.append(' ')
                        .append(e.getKey())
                        .append('=')
                        .append(e.getValue().getAsString()));
        text.append(System.lineSeparator());
        section.entrySet().stream()
                .filter(e -> e.getValue().isJsonArray())
                .forEach(e -> e.getValue().getAsJsonArray().forEach(part -> {
                    text.append("        ");
                    appendFields(text, part.getAsJsonObject());
                }));
    }

    /** One line for the view, then one row per member. */
    private static String table(JsonObject view) {
        StringBuilder s = new StringBuilder();
        appendFields(s, summary(view));
        s.append(String.format(
                "%-10s%6s  %-8s %-11s%12s  %s%n", "instance", "zone", "state", "phase", "incarnation", "life"));
        for (JsonElement e : view.getAsJsonArray("members")) {
            JsonObject m = e.getAsJsonObject();
            s.append(String.format(
                    "%-10d%6d  %-8s %-11s%12d  %s%n",
                    m.get("instance").getAsInt(),
                    m.get("zone").getAsInt(),
                    m.get("state").getAsString(),
                    m.get("phase").getAsString(),
                    m.get("incarnation").getAsLong(),
                    m.get("life").getAsString()));
        }
        return s.toString().stripTrailing();
    }

    private static JsonObject summary(JsonObject view) {
        JsonObject o = view.deepCopy();
        o.remove("members");
        return o;
    }

    /** One line per section with its name and fields, then one line per element of its lists. */
    static String text(JsonObject status) {
        StringBuilder s = new StringBuilder();
        for (Map.Entry<String, JsonElement> section : status.entrySet()) {
            s.append(String.format("%-8s", section.getKey()));
            appendFields(s, section.getValue().getAsJsonObject());
        }
        return s.toString().stripTrailing();
    }
}
