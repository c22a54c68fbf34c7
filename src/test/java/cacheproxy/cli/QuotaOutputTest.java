package cacheproxy.cli;

import cacheproxy.GoldenFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What {@code quota replay} and {@code config show} print for the example must equal the recorded text. */
class QuotaOutputTest {
    private static final String EXAMPLE = "deploy/quotas.conf";

    @TempDir
    private Path folder;

    private final StringBuilder printed = new StringBuilder();

    private void run(String... command) {
        Terminal terminal = new Terminal();
        int code = terminal.run(command);
        printed.append(terminal.out).append(terminal.err.replace(folder + "/", ""));
        printed.append("= ").append(code).append("\n\n");
    }

    private static List<String> trace() {
        SplittableRandom random = new SplittableRandom(9);
        List<String> lines = new ArrayList<>();
        String[] owners = {"alpha,player", "alpha,set-top", "beta,player", "nobody,tv", "beta,", ","};
        double timeMs = 0;
        for (int i = 0; i < 4000; i++) {
            timeMs += random.nextInt(3);
            String owner = owners[random.nextInt(owners.length)];
            lines.add((long) timeMs + "," + owner + "," + (owner.endsWith(",") ? "" : "phone") + ","
                    + random.nextInt(2_000_000) + "," + (random.nextInt(20) == 0 ? 1 : 0));
        }
        return lines;
    }

    @Test
    void outputOfReplayAndShowIsAsRecorded() throws IOException {
        Path trace = Files.write(folder.resolve("trace.csv"), trace());
        Path decisions = folder.resolve("decisions.csv");
        run("quota", "replay", "--edge", EXAMPLE, trace.toString(), "--decisions", decisions.toString());
        List<String> lines = Files.readAllLines(decisions);
        lines.stream()
                .filter(line -> !line.endsWith(",1,0"))
                .limit(200)
                .forEach(line -> printed.append(line).append('\n'));
        for (String wrong : List.of("1,a", "x,a,b,c,1,0", "5,a,b,c,1.5,0", "5,a,b,c,1,2", "9,a,b,c,1,0\n8,a,b,c,1,0")) {
            Path broken = Files.writeString(folder.resolve("broken.csv"), wrong + "\n");
            run("quota", "replay", "--edge", EXAMPLE, broken.toString());
        }
        run("config", "show", "--effective", EXAMPLE);
        run("config", "check", EXAMPLE);
        GoldenFile.assertText("quota/output.txt", printed.toString());
    }
}
