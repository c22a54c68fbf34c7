package cacheproxy;

import cacheproxy.cli.Cli;
import cacheproxy.config.edge.EdgeFile;
import cacheproxy.control.AdminPort;
import cacheproxy.control.ControlRegistry;
import cacheproxy.control.ControlServer;
import cacheproxy.control.ProxyControl;
import cacheproxy.proxy.Proxy;
import cacheproxy.proxy.SighupHandler;
import cacheproxy.simulator.SimulatorAdapter;
import java.io.IOException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/**
 * Command line: {@code serve} is one real proxy on sockets, {@code drill} speaks the simulator's wire on standard input
 * and output, {@code train} starts and ends a proxy so that the build can archive its classes. These three load nothing
 * of the tools; whatever else is asked goes to {@link Cli}.
 */
public final class Main {
    private Main() {}

    /** Runs until the input ends ({@code drill}), the process is told to end ({@code serve}) or a tool is done. */
    public static void main(String[] args) {
        switch (args.length == 0 ? "" : args.length == 1 || args[0].equals("serve") ? args[0] : "") {
            case "serve" -> serve(args);
            case "train" -> System.exit(Proxy.train(Main::openDoor));
            case "drill" -> System.exit(SimulatorAdapter.main());
            default -> System.exit(Cli.run(args));
        }
    }

    /** What a proxy that is asked loads, so that it stands in the archive. */
    private static void openDoor(Proxy proxy) {
        try {
            AdminPort.exercise(proxy.loop(), ProxyControl.registry(proxy));
        } catch (Exception e) {
            System.err.println("the door was not tried: " + e);
        }
    }

    /** Read by hand: a proxy's start waits for nothing that it does not need. */
    private static void serve(String[] args) {
        SighupHandler sighup = SighupHandler.install(); // first: until then the signal ends the process
        String control = null;
        String edge = null;
        long figuresMs = 0;
        boolean view = false;
        boolean zones = false;
        boolean recovers = false;
        String state = null;
        String fleet = "fleet";
        for (int i = 1; i < args.length; i += 2) {
            String value = i + 1 < args.length ? args[i + 1] : "";
            if (args[i].equals("--control") && control == null && !value.isEmpty()) {
                control = value;
            } else if (args[i].equals("--edge") && edge == null && !value.isEmpty()) {
                edge = value;
            } else if (args[i].equals("--figures") && figuresMs == 0 && value.matches("[1-9][0-9]{0,4}s")) {
                figuresMs = 1000 * Long.parseLong(value.substring(0, value.length() - 1));
            } else if (args[i].equals("--view") && value.matches("on|off")) {
                view = value.equals("on");
            } else if (args[i].equals("--zones") && value.matches("on|off")) {
                zones = value.equals("on");
            } else if (args[i].equals("--recovery") && value.matches("on|off")) {
                recovers = value.equals("on");
            } else if (args[i].equals("--state") && state == null && !value.isEmpty()) {
                state = value;
            } else if (args[i].equals("--fleet") && value.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,59}")) {
                fleet = value;
            } else {
                System.err.println("usage: serve [--edge FILE] [--control PATH] [--figures SECONDSs] [--view on|off] "
                        + "[--zones on|off] [--recovery on|off] [--state FOLDER] [--fleet NAME]");
                System.exit(2);
            }
        }
        Proxy proxy = Proxy.main(
                edge == null ? null : new EdgeFile(Path.of(edge)),
                state == null ? null : new Proxy.Kept(Path.of(state), fleet),
                sighup);
        if (view || zones || recovers) {
            proxy.join(new Proxy.Together(view, zones, recovers));
        }
        if (figuresMs > 0) {
            proxy.logFigures(figuresMs);
        }
        if (control == null && proxy.operator() == null) {
            return; // nobody asks, so nothing of it is loaded
        }
        ControlRegistry registry = ProxyControl.registry(proxy);
        try {
            if (control != null) {
                ControlServer server = new ControlServer(proxy.loop(), Path.of(control), registry);
                Runtime.getRuntime().addShutdownHook(new Thread(server::close));
            }
        } catch (IOException | InvalidPathException e) {
            System.err.println("no control socket: " + e.getMessage());
            System.exit(1);
        }
        try {
            if (proxy.operator() != null) {
                new AdminPort(proxy.loop(), proxy.operator(), registry); // as long as the process serves
            }
        } catch (Exception e) {
            System.err.println("can't listen for operators on " + proxy.operator() + ": " + e.getMessage());
            System.exit(1);
        }
    }
}
