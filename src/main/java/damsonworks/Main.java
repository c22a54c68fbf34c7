package damsonworks;

import damsonworks.cli.Cli;
import damsonworks.control.ControlServer;
import damsonworks.control.ProxyControl;
import damsonworks.proxy.Proxy;
import damsonworks.wire.Drill;
import java.io.IOException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/**
 * Command line: {@code serve} is one real proxy on sockets, {@code drill} speaks the simulator's wire on
 * standard input and output, {@code train} starts and ends a proxy so that the build can archive its classes. These
 * three load nothing of the tools; whatever else is asked goes to {@link Cli}.
 */
public final class Main {
    private Main() { }

    /** Runs until the input ends ({@code drill}), the process is told to end ({@code serve}) or a tool is done. */
    public static void main(String[] args) {
        switch (args.length == 0 ? "" : args.length == 1 || args[0].equals("serve") ? args[0] : "") {
            case "serve" -> serve(args);
            case "train" -> System.exit(Proxy.train());
            case "drill" -> System.exit(Drill.main());
            default -> System.exit(Cli.run(args));
        }
    }

    /** Read by hand: a proxy's start waits for nothing that it does not need. */
    private static void serve(String[] args) {
        boolean control = args.length == 3 && args[1].equals("--control") && !args[2].isEmpty();
        if (args.length > 1 && !control) {
            System.err.println("usage: serve [--control PATH]");
            System.exit(2);
        }
        Proxy proxy = Proxy.main();
        if (control) {
            try {
                ControlServer server = ProxyControl.open(proxy, Path.of(args[2]));
                Runtime.getRuntime().addShutdownHook(new Thread(server::close));
            } catch (IOException | InvalidPathException e) {
                System.err.println("no control socket: " + e.getMessage());
                System.exit(1);
            }
        }
    }
}
