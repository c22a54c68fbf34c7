import java.nio.file.Path;

/** What all cases share: the folder, the switch of the disruption, the time limit and the exit codes. */
final class Main {
    /** One case. */
    interface Case {
        /** Whether the rule held. */
        boolean play(Path root, boolean trouble) throws Exception;
    }

    private static final long LIMIT_MS = 110_000;

    private Main() {}

    static void run(String[] args, Case play) {
        Path folder = Path.of(args[0]).toAbsolutePath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Acceptor.daemon(() -> {
            Thread.sleep(LIMIT_MS);
            System.out.println("could not run: over the time limit");
            System.exit(2);
        });
        int code;
        try {
            Record.open(folder);
            Record.line("trouble=%s", trouble);
            boolean held = play.play(folder.getParent().getParent(), trouble);
            Record.say(held ? "the rule held" : "the rule was broken");
            code = held ? 0 : 1;
        } catch (Throwable e) {
            Record.say("could not run: %s", e);
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
