package damsonworks;

import damsonworks.cli.Cli;
import damsonworks.proxy.Proxy;
import damsonworks.wire.Drill;

/**
 * Command line: {@code serve} is one real proxy on sockets, {@code drill} speaks the simulator's wire on
 * standard input and output, {@code train} starts and ends a proxy so that the build can archive its classes. These
 * three load nothing of the tools; whatever else is asked goes to {@link Cli}.
 */
public final class Main {
    private Main() { }

    /** Runs until the input ends ({@code drill}), the process is told to end ({@code serve}) or a tool is done. */
    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> Proxy.main();
            case "train" -> System.exit(Proxy.train());
            case "drill" -> System.exit(Drill.main());
            default -> System.exit(Cli.run(args));
        }
    }
}
