package cacheproxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.emulator.EmulatedFleet;
import cacheproxy.emulator.FleetSpec;
import cacheproxy.metrics.Metric;
import cacheproxy.metrics.MetricsLine;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class CliTest extends Terminal {
    @TempDir
    private Path folder;

    private JsonObject json(String name) throws Exception {
        return JsonParser.parseString(Files.readString(folder.resolve(name))).getAsJsonObject();
    }

    @Test
    void figuresSumsOverLogsAndReportsLogsWithoutAny() throws Exception {
        Path logs = Files.createDirectory(folder.resolve("logs"));
        Files.write(logs.resolve("p0.log"), new byte[] {(byte) 0xff, '\n'});
        assertThat(run("figures", logs.toString())).isEqualTo(1);
        assertThat(err).contains("no figures in these logs");
        for (int p = 0; p < 3; p++) {
            MetricsLine.Node node = new MetricsLine.Node("1a", 4, 2, true);
            Files.writeString(
                    logs.resolve("p" + p + ".log"),
                    "ready\n"
                            + new MetricsLine(
                                            "p" + p,
                                            7,
                                            21_000,
                                            20_000,
                                            35,
                                            900,
                                            Map.of(Metric.REQUESTS_SUCCEEDED, 1000L, Metric.ATTEMPTS, 1500L),
                                            List.of(node))
                                    .text()
                            + "\nfigures {\"pro");
        }
        assertThat(run("figures", "--each", logs.toString())).as(err).isZero();
        assertThat(out)
                .contains("3 processes of 3 proxies, 20 s")
                .containsPattern("attempts +4,500 +225.00 +1.5000")
                .contains("1a=6")
                .contains("start to first served, ms    least 35")
                .contains("3 lines of figures were cut");
        assertThat(run("figures", folder.resolve("nowhere").toString())).isEqualTo(1);
        assertThat(err).contains("nowhere: there is no such file or folder");
    }

    @Test
    void loadWritesReportsAndMergeCombinesThem() throws Exception {
        FleetSpec spec = FleetSpec.standard(1, 1, 1).withWork(0, 0).withHeld(1);
        try (EmulatedFleet fleet = new EmulatedFleet(spec)) {
            String target = "127.0.0.1:" + fleet.nodes(0).get("node-0").getPort();
            for (String name : new String[] {"a", "b"}) {
                int code = run(
                        "load",
                        "--target",
                        target,
                        "--rate",
                        "100",
                        "--for",
                        "1s",
                        "--mix",
                        "seg-text=1",
                        "--arrivals",
                        "constant",
                        "--max-lag",
                        "60s",
                        "--json",
                        folder.resolve(name).toString(),
                        "--html",
                        folder.resolve("page").toString(),
                        "--hlog",
                        folder.resolve("hlog").toString());
                assertThat(code).as(err).isZero();
            }
        }
        JsonObject a = json("a");
        assertThat(a.get("requests").getAsLong()).isBetween(99L, 100L);
        assertThat(a.get("served")).isEqualTo(a.get("requests"));
        assertThat(a.get("kept_schedule").getAsBoolean()).isTrue();
        assertThat(a.get("rate_asked").getAsDouble()).isBetween(98.0, 103.0);
        assertThat(Files.readString(folder.resolve("page"))).startsWith("<!doctype html>");
        assertThat(Files.readString(folder.resolve("hlog"))).startsWith("#[Histogram log format version");
        assertThat(run(
                        "load",
                        "merge",
                        folder.resolve("a").toString(),
                        folder.resolve("b").toString(),
                        "--json",
                        folder.resolve("both").toString()))
                .isZero();
        assertThat(json("both").get("requests").getAsLong())
                .isEqualTo(a.get("requests").getAsLong()
                        + json("b").get("requests").getAsLong());
    }

    @Test
    void aTraceFasterThanTheGeneratorExitsWithThree() throws Exception {
        StringBuilder trace = new StringBuilder("time_ms,class,key,op,value_bytes\nnonsense\n");
        for (int i = 0; i < 20_000; i++) {
            trace.append(i).append(",seg-text,7f,read,0\n");
        }
        Files.writeString(folder.resolve("day.csv"), trace);
        try (EmulatedFleet fleet =
                new EmulatedFleet(FleetSpec.standard(1, 1, 1).withWork(0, 0).withHeld(1))) {
            assertThat(run(
                            "load",
                            "--target",
                            "127.0.0.1:" + fleet.nodes(0).get("node-0").getPort(),
                            "--trace",
                            folder.resolve("day.csv").toString(),
                            "--speed",
                            "1000000",
                            "--json",
                            folder.resolve("r").toString()))
                    .isEqualTo(3);
        }
        assertThat(out).contains("SCHEDULE NOT KEPT", "1 lines of the trace can't be read, the first: [2]");
        assertThat(json("r").get("kept_schedule").getAsBoolean()).isFalse();
    }

    @Test
    void wrongUsageIsReportedWithTheFixAndExitsWithTwo() throws Exception {
        assertThat(run("load", "--target", "127.0.0.1:1", "--for", "20")).isEqualTo(2);
        assertThat(err).contains("name the unit");
        assertThat(run("load", "--target", "here")).isEqualTo(2);
        assertThat(err).contains("HOST:PORT");
        assertThat(run("load", "--target", "127.0.0.1:1", "--rate", "-3")).isEqualTo(2);
        assertThat(err).contains("a rate is above 0");
        assertThat(run("load", "--target", "127.0.0.1:1", "--mix", "text=1:now"))
                .isEqualTo(2);
        assertThat(err).contains("NAME=SHARE[:read|unsafe|keyed[:DEADLINE_MS]]");
        assertThat(run("lod")).isEqualTo(2);
        assertThat(run()).isEqualTo(2);
        Files.writeString(folder.resolve("x.faults"), "5s node-1 stal 2s\n");
        assertThat(run("demo", "--fault", folder.resolve("x.faults").toString()))
                .isNotZero();
        assertThat(err).contains("x.faults:1: ", "did you mean stall?");
        assertThat(run("demo", "--nodes", "0")).isEqualTo(2);
        assertThat(err).contains("nodes is 0");
    }

    @Test
    void helpShowsExamples() {
        for (String command : new String[] {"load", "demo", "fleet"}) {
            assertThat(run(command, "--help")).isZero();
            assertThat(out).contains("Examples:", command + " --");
        }
        assertThat(run("--help")).isZero();
        assertThat(out).contains("serve", "BALANCER_CONFIG");
    }
}
