package cacheproxy.cli;

import cacheproxy.control.ControlClient;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code drain}: starts, watches or cancels a drain. */
@Command(
        name = "drain",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Lets a running proxy answer what it owes, end its connections and exit. Exit codes: 0 done or "
                    + "begun, 1 it could not be, or --wait saw a cancel, 2 wrong use."
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  drain --control /run/proxy.sock --deadline 30s --wait",
            "  drain --control /run/proxy.sock --cancel"
        })
final class DrainCommand implements Callable<Integer> {
    private static final int BAR_WIDTH = 40;
    private static final long POLL_MS = 200;
    private static final double MS_PER_SECOND = 1000;

    @Spec
    private CommandSpec spec;

    @Mixin
    private ControlOption control;

    @Option(
            names = "--deadline",
            paramLabel = "TIME",
            description = "When all that is left is answered at once and the proxy exits.")
    private Duration deadline;

    @Option(names = "--cancel", description = "Takes a drain back: full service again.")
    private boolean cancel;

    @Option(names = "--wait", description = "Shows how it goes until it is over.")
    private boolean wait;

    @Override
    public Integer call() throws Exception {
        if (cancel == (deadline != null)) {
            throw new ParameterException(spec.commandLine(), "say either --deadline TIME or --cancel");
        }
        PrintWriter out = spec.commandLine().getOut();
        try (ControlClient client = control.connect()) {
            JsonObject request = ControlClient.request(cancel ? "drain-cancel" : "drain");
            if (deadline != null) {
                request.addProperty("deadline_ms", deadline.ms());
            }
            JsonObject start = client.call(request);
            out.println(
                    cancel
                            ? "cancelled; in full service"
                            : start.get("words").getAsString() + "; "
                                    + start.get("deadline_left_ms").getAsLong() / MS_PER_SECOND + " s to the deadline");
            out.flush();
            return wait && !cancel ? watch(client, out) : Cli.OK;
        }
    }

    private static int watch(ControlClient client, PrintWriter out) throws InterruptedException {
        while (true) {
            JsonObject drain;
            try {
                drain = client.call(ControlClient.request("status")).getAsJsonObject("drain");
            } catch (IOException e) {
                out.println("the proxy has ended");
                out.flush();
                return Cli.OK;
            }
            if (drain.get("phase").getAsString().equals("serving")) {
                out.println("cancelled; in full service");
                out.flush();
                return Cli.FAILED;
            }
            out.println(bar(drain));
            out.flush();
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private static String bar(JsonObject drain) {
        double share = drain.get("share").getAsDouble();
        int done = (int) (share * BAR_WIDTH);
        return String.format(
                "[%s%s] %5.1f%%  %d owed, %d connections, some %.1f s left, %.1f s at most",
                "#".repeat(done),
                ".".repeat(BAR_WIDTH - done),
                100 * share,
                drain.get("owed").getAsInt(),
                drain.get("connections").getAsInt(),
                drain.get("left_ms").getAsDouble() / MS_PER_SECOND,
                drain.get("deadline_left_ms").getAsDouble() / MS_PER_SECOND);
    }
}
