package cacheproxy.cli;

import cacheproxy.demo.ProxiedFleet;
import cacheproxy.emulator.Fault;
import cacheproxy.emulator.FleetSpec;
import cacheproxy.emulator.Oracle;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonObject;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code fleet}: emulated nodes and proxies that keep running for manual tests. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Starts a fleet of stand-ins with real proxies, prints where everything listens, and keeps it "
                    + "up until it is interrupted (or for --for). Nothing is left behind."
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  fleet",
            "  fleet --nodes 3 --proxies 1 --held 1 --json fleet.json",
            "  printf 'mg 7f3a v O1 Pc=seg-text,d=1000\\r\\n' | nc 127.0.0.1 PORT"
        })
final class FleetCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Mixin
    private FleetOptions options;

    @Mixin
    private ValueOptions values;

    @Option(names = "--for", paramLabel = "TIME", description = "Ends after this time.")
    private Duration length;

    @Option(names = "--json", paramLabel = "FILE", description = "Writes the addresses, files and process ids.")
    private Path json;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        FleetSpec fleetSpec = values.applyTo(options.spec());
        List<Fault> faults = options.faults(fleetSpec);
        try (ProxiedFleet fleet = new ProxiedFleet(fleetSpec, options.memoryMb, options.edge)) {
            JsonObject addresses = fleet.json();
            String text = new GsonBuilder().setPrettyPrinting().create().toJson(addresses);
            if (json != null) {
                Path next = json.resolveSibling(json.getFileName() + ".next");
                Files.writeString(next, text + "\n");
                Files.move(next, json, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            }
            out.println(text);
            out.println("up; interrupt it to end");
            out.flush();
            fleet.play(faults);
            CountDownLatch never = new CountDownLatch(1);
            if (length == null) {
                never.await();
            } else {
                never.await((long) length.ms(), TimeUnit.MILLISECONDS);
            }
            Oracle.Verdict verdict = fleet.fleet().verdict();
            out.println("broken rules: " + verdict.breaches());
            out.flush();
            return verdict.held() ? Cli.OK : Cli.FAILED;
        }
    }
}
