import java.nio.file.Files;
import java.nio.file.Path;

/** What all cases share: the folder, the switch of the disruption, the time limit and the exit codes. */
final class Main {
    /** One case. */
    interface Case {
        /** Whether the rule held. */
        boolean play(Path root, boolean trouble) throws Exception;
    }

    /** Exit codes, which run-case-2.sh turns into those of the scripts: there 1 must not be a failure of the JVM. */
    private static final int HELD = 0;

    private static final int BROKEN = 10;
    private static final int COULD_NOT_RUN = 11;
    private static final long LIMIT_MS = 110_000;

    private Main() {}

    /** The folder above this one that holds the deploy file. */
    private static Path rootOf(Path folder) {
        for (Path at = folder; at != null; at = at.getParent()) {
            if (Files.exists(at.resolve("deploy/balancer.toml"))) {
                return at;
            }
        }
        throw new IllegalStateException("no deploy/balancer.toml above " + folder);
    }

    static void run(String[] args, Case play) {
        Path folder = Path.of(args[0]).toAbsolutePath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Acceptor.daemon(() -> {
            Thread.sleep(LIMIT_MS);
            System.out.println("could not run: over the time limit");
            System.exit(COULD_NOT_RUN);
        });
        int code;
        try {
            Record.open(folder);
            Record.line("trouble=%s", trouble);
            boolean held = play.play(rootOf(folder), trouble);
            Record.say(held ? "the rule held" : "the rule was broken");
            code = held ? HELD : BROKEN;
        } catch (Throwable e) {
            Record.say("could not run: %s", e);
            e.printStackTrace();
            code = COULD_NOT_RUN;
        }
        System.exit(code);
    }
}
