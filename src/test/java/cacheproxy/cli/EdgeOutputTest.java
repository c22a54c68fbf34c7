package cacheproxy.cli;

import cacheproxy.GoldenFile;
import org.junit.jupiter.api.Test;

/** What {@code config show} and {@code config explain} print for edge configurations must equal the recorded text. */
class EdgeOutputTest {
    private static final String EXPECTED = "route/config-output.txt";
    private static final String EXAMPLE = "deploy/edge.conf";
    private static final String LIMITS = "src/test/resources/route/limits.conf";
    private static final String PROXY = "src/test/resources/config.json";

    private final StringBuilder printed = new StringBuilder();

    private void run(String... arguments) {
        String[] command = new String[arguments.length + 1];
        command[0] = "config";
        System.arraycopy(arguments, 0, command, 1, arguments.length);
        Terminal terminal = new Terminal();
        int code = terminal.run(command);
        printed.append("$ ").append(String.join(" ", command)).append('\n');
        printed.append(terminal.out).append(terminal.err);
        printed.append("= ").append(code).append("\n\n");
    }

    @Test
    void outputOfShowAndExplainIsAsRecorded() {
        run("show", "--effective", EXAMPLE);
        run("explain", EXAMPLE, "--key", "old/7");
        run("explain", EXAMPLE, "--key", "sub/7f3a", "--class", "seg-text", "--with", PROXY);
        run("explain", EXAMPLE, "--key", "img/7");
        run("show", "--effective", LIMITS);
        run("explain", LIMITS, "--key", "a/1", "--class", "seg-text");
        run("explain", LIMITS, "--key", "a/2/x1", "--tenant", "studio", "--front", "http");
        run("explain", LIMITS, "--key", "a/2", "--front", "http", "--class", "seg-video", "--with", PROXY);
        run("explain", LIMITS, "--key", "b", "--class", "seg-text");
        run("explain", LIMITS, "--key", "b", "--class", "other", "--with", PROXY);
        GoldenFile.assertText(EXPECTED, printed.toString());
    }
}
