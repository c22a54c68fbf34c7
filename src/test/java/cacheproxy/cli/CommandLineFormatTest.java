package cacheproxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import picocli.CommandLine;

/** Operators' scripts depend on command names and flags; the help texts must equal the recorded ones. */
class CommandLineFormatTest extends Terminal {
    private static final Path HELP = Path.of("src/test/resources/formats/command-line-help.txt");
    private static final Path SERVE_USAGE = Path.of("src/test/resources/formats/serve-usage.txt");

    @Test
    void helpOfEveryCommandIsAsRecorded() throws IOException {
        StringBuilder all = new StringBuilder();
        appendHelp(all, List.of(), Cli.commandLine());
        assertThat(all).hasToString(Files.readString(HELP));
    }

    private void appendHelp(StringBuilder all, List<String> words, CommandLine command) {
        List<String> line = new ArrayList<>(words);
        line.add("--help");
        assertThat(run(line.toArray(String[]::new))).as("%s", line).isZero();
        all.append("==== ").append(String.join(" ", line)).append('\n').append(out);
        for (Map.Entry<String, CommandLine> subcommand : new TreeMap<>(command.getSubcommands()).entrySet()) {
            List<String> subcommandWords = new ArrayList<>(words);
            subcommandWords.add(subcommand.getKey());
            appendHelp(all, subcommandWords, subcommand.getValue());
        }
    }

    @Test
    @Timeout(60)
    void theUsageOfServeIsAsRecorded() throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "cacheproxy.Main",
                        "serve",
                        "--unknown")
                .redirectErrorStream(true)
                .start();
        String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
        assertThat(process.exitValue()).isEqualTo(2);
        assertThat(text).isEqualTo(Files.readString(SERVE_USAGE));
    }
}
