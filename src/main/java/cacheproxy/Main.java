package cacheproxy;

import cacheproxy.cli.Cli;
import cacheproxy.config.edge.EdgeFile;
import cacheproxy.control.AdminPort;
import cacheproxy.control.ControlRegistry;
import cacheproxy.control.ControlServer;
import cacheproxy.control.ProxyControl;
import cacheproxy.proxy.lifecycle.ArchiveTraining;
import cacheproxy.proxy.lifecycle.Proxy;
import cacheproxy.proxy.lifecycle.SighupHandler;
import cacheproxy.proxy.lifecycle.StateLocation;
import cacheproxy.simulator.SimulatorAdapter;
import java.io.IOException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/**
 * The entry point of the program. {@code serve} runs a proxy, {@code drill} runs the simulator protocol on standard
 * input and output, and {@code train} starts and stops a proxy so that the build can archive its classes. These three
 * load no classes of the tools; all other commands are handled by {@link Cli}.
 */
public final class Main {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /** Runs until the input ends ({@code drill}), the process is terminated ({@code serve}) or a tool completes. */
    public static void main(String[] args) {
        switch (args.length == 0 ? "" : args.length == 1 || args[0].equals("serve") ? args[0] : "") {
            case "serve" -> serve(args);
            case "train" -> System.exit(ArchiveTraining.run(Main::exerciseAdminPort));
            case "drill" -> System.exit(SimulatorAdapter.main());
            default -> System.exit(Cli.run(args));
        }
    }

    /** Loads the classes that serve operators' requests, so that the build can archive them. */
    private static void exerciseAdminPort(Proxy proxy) {
        try {
            AdminPort.exercise(proxy.loop(), ProxyControl.registry(proxy));
        } catch (Exception e) {
            System.err.println("could not exercise the admin port: " + e);
        }
    }

    private static void serve(String[] args) {
        SighupHandler sighup = SighupHandler.install(); // first, because an unhandled SIGHUP terminates the process
        ServeOptions options = ServeOptions.parse(args);
        if (options == null) {
            System.err.println(ServeOptions.USAGE);
            System.exit(EXIT_USAGE);
            return;
        }
        Proxy proxy = start(options, sighup);
        if (options.controlSocket() == null && proxy.adminAddress() == null) {
            return; // no control interface is configured, so its classes are not loaded
        }
        ControlRegistry registry = ProxyControl.registry(proxy);
        if (options.controlSocket() != null) {
            openControlSocket(proxy, options.controlSocket(), registry);
        }
        if (proxy.adminAddress() != null) {
            openAdminPort(proxy, registry);
        }
    }

    private static Proxy start(ServeOptions options, SighupHandler sighup) {
        EdgeFile routes = options.routesFile() == null ? null : new EdgeFile(Path.of(options.routesFile()));
        StateLocation storage = options.stateFolder() == null
                ? null
                : new StateLocation(Path.of(options.stateFolder()), options.fleetName());
        Proxy proxy = Proxy.serve(routes, storage, sighup);
        if (options.features().any()) {
            proxy.joinFleet(options.features());
        }
        if (options.metricsIntervalMs() > 0) {
            proxy.logMetrics(options.metricsIntervalMs());
        }
        return proxy;
    }

    private static void openControlSocket(Proxy proxy, String path, ControlRegistry registry) {
        try {
            ControlServer server = new ControlServer(proxy.loop(), Path.of(path), registry);
            Runtime.getRuntime().addShutdownHook(new Thread(server::close));
        } catch (IOException | InvalidPathException e) {
            System.err.println("can't open the control socket: " + e.getMessage());
            System.exit(EXIT_FAILURE);
        }
    }

    private static void openAdminPort(Proxy proxy, ControlRegistry registry) {
        try {
            new AdminPort(proxy.loop(), proxy.adminAddress(), registry); // stays open as long as the process runs
        } catch (Exception e) {
            System.err.println("can't open the admin port at " + proxy.adminAddress() + ": " + e.getMessage());
            System.exit(EXIT_FAILURE);
        }
    }
}
