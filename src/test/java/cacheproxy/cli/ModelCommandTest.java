package cacheproxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ModelCommandTest extends Terminal {
    @TempDir
    private Path folder;

    @Test
    void aDayIsReportedAsTableJsonAndHtml() throws Exception {
        Path json = folder.resolve("m.json");
        Path html = folder.resolve("m.html");
        assertThat(run(
                        "model",
                        "--instances",
                        "4",
                        "--nodes",
                        "8",
                        "--day",
                        "split",
                        "--seed",
                        "3",
                        "--for",
                        "16s",
                        "--json",
                        json.toString(),
                        "--html",
                        html.toString()))
                .as(err)
                .isZero();
        assertThat(out)
                .contains("split, 4 instances before 8 nodes, seed 3")
                .contains("rules kept")
                .containsPattern("first tries +[1-9]");
        JsonObject o = JsonParser.parseString(Files.readString(json))
                .getAsJsonArray()
                .get(0)
                .getAsJsonObject();
        assertThat(o.get("broken").getAsJsonObject().size()).isZero();
        assertThat(o.getAsJsonObject("by_second").getAsJsonArray("served")).hasSize(16);
        assertThat(Files.readString(html)).contains("<svg").contains("connections turned away");
    }

    @Test
    void manySeedsAreSummarized() {
        assertThat(run("model", "--instances", "2", "--nodes", "4", "--day", "all", "--seeds", "2", "--for", "3s"))
                .isZero();
        assertThat(out).contains("herd   2 seeds").contains("rules broken on 0").doesNotContain("soak");
    }

    @Test
    void invalidArgumentsAreReportedWithTheAllowedOnes() {
        assertThat(run("model", "--day", "friday")).isEqualTo(2);
        assertThat(err).contains("there is no day 'friday'; it takes calm, roll, herd, zone, split, join, soak or all");
        assertThat(run("model", "--nodes", "1")).isEqualTo(2);
        assertThat(err).contains("before 1 nodes");
        assertThat(run("model", "--for", "5")).isEqualTo(2);
        assertThat(err).contains("name the unit");
    }

    @Test
    void coldNodeLoadIsReportedByCaseAndRamp() {
        assertThat(run("model", "cold", "--instances", "2", "--nodes", "4", "--case", "late", "--seeds", "2"))
                .isZero();
        assertThat(out).containsPattern("late +2 +[1-9]\\d* steady").containsPattern("late +2 +[1-9]\\d* late");
        assertThat(run("model", "cold", "--case", "friday")).isEqualTo(2);
        assertThat(err)
                .contains("there is no case 'friday'; it takes plain, keys, hot_key, burst, repeats, unmarked, "
                        + "uneven, late, all or every");
        assertThat(run("model", "cold", "--seeds", "0")).isEqualTo(2);
        assertThat(err).contains("1 to 100000 seeds");
    }
}
