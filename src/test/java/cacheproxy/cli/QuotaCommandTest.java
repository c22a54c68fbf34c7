package cacheproxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.quota.ExactLog;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays of the shipped example, and mistakes in quota files and traces. */
class QuotaCommandTest extends Terminal {
    private static final String EXAMPLE = "deploy/quotas.conf";

    @TempDir
    private Path folder;

    /** One line of the output. */
    private record Decided(double at, String org, String app, long bytes, boolean write, boolean admitted, long retry) {
        static Decided of(String line) {
            String[] w = line.split(",", -1);
            return new Decided(
                    Double.parseDouble(w[0]),
                    w[1],
                    w[2],
                    Long.parseLong(w[4]),
                    w[5].equals("1"),
                    w[6].equals("1"),
                    Long.parseLong(w[7]));
        }
    }

    private List<Decided> replay(List<String> trace) throws Exception {
        Path in = folder.resolve("trace.csv");
        Path to = folder.resolve("out.csv");
        Files.write(in, trace);
        assertThat(run("quota", "replay", "--edge", EXAMPLE, in.toString(), "--decisions", to.toString()))
                .as(err)
                .isZero();
        List<String> lines = Files.readAllLines(to);
        assertThat(lines.get(0)).isEqualTo("time_ms,org,app,device,bytes,write,admitted,retry_after_ms");
        return lines.subList(1, lines.size()).stream().map(Decided::of).toList();
    }

    private static void noWindowOver(List<Decided> all, long windowMs, long cap, boolean bytes, Predicate<Decided> of) {
        ExactLog log = new ExactLog();
        all.stream().filter(d -> d.admitted && of.test(d)).forEach(d -> log.add(d.at, bytes ? d.bytes : 1));
        assertThat(log.fullest(windowMs)).isLessThanOrEqualTo(cap);
    }

    /** Alpha returns at 20 s, while beta requests ten times its cap throughout. */
    @Test
    void theExampleKeepsItsCapsAndReclaimsLentQuota() throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        Map<String, Double> rates =
                new HashMap<>(Map.of("beta,player", 6000.0, "beta,set-top", 2000.0, "nobody,tv", 900.0));
        List<String> trace = new ArrayList<>();
        trace.add("time_ms,org,app,device,bytes,write");
        for (double at = 0; at < 40_000; at += 0.1) {
            if (at >= 20_000) {
                rates.put("alpha,player", 340.0);
                rates.put("alpha,set-top", 145.0);
            }
            for (Map.Entry<String, Double> r : rates.entrySet()) {
                if (random.nextDouble() < r.getValue() / 10_000) {
                    trace.add(String.format(
                            "%.1f,%s,phone,%d,%d",
                            at, r.getKey(), random.nextInt(20_000), random.nextInt(50) == 0 ? 1 : 0));
                }
            }
        }
        List<Decided> all = replay(trace);
        assertThat(all).hasSize(trace.size() - 1);
        noWindowOver(all, 1000, 1000, false, d -> true);
        noWindowOver(all, 1000, 800, false, d -> d.org.equals("beta"));
        noWindowOver(all, 1000, 100, false, d -> d.org.equals("nobody"));
        noWindowOver(all, 1000, 10, false, d -> d.org.equals("beta") && d.write);
        noWindowOver(all, 1000, 20_000_000, true, d -> d.org.equals("beta"));
        double lent = all.stream()
                        .filter(d -> d.admitted && d.org.equals("beta") && d.at < 20_000)
                        .count()
                / 20.0;
        assertThat(lent).as("beta alone").isBetween(700.0, 800.0);
        List<Decided> back = all.stream()
                .filter(d -> d.org.equals("alpha") && !d.write && d.at >= 25_000)
                .toList();
        assertThat(back.stream().filter(Decided::admitted).count())
                .as("of alpha's, five seconds after it came back")
                .isGreaterThan((long) (back.size() * 0.96));
        assertThat(all).allSatisfy(d -> assertThat(d.retry > 0).isEqualTo(!d.admitted));
        assertThat(out).contains("beta").contains("alpha");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "5,alpha,player,tv,10 | 5 columns; write time_ms,org,app,device,bytes,write",
                "soon,alpha,player,tv,10,0 | 'soon' where a time in milliseconds belongs",
                "5,alpha,player,tv,1.5,0 | '1.5' where a number of bytes belongs",
                "5,alpha,player,tv,-1,0 | '-1' where a number of bytes belongs",
                "5,alpha,player,tv,10,yes | 'yes' where 0 or 1 belongs",
                "1,alpha,player,tv,10,0 | earlier than the line before it",
                "NaN,alpha,player,tv,10,0 | 'NaN' where a time in milliseconds belongs"
            })
    void anUnreadableTraceLineIsReported(String line, String message) throws Exception {
        Path in = folder.resolve("trace.csv");
        Files.write(in, List.of("2,alpha,player,tv,10,0", line));
        assertThat(run("quota", "replay", "--edge", EXAMPLE, in.toString())).isEqualTo(1);
        assertThat(err).contains("trace.csv:2: ").contains(message);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "organisation \"a\" { requests { per = 1s guarantee = 1001 cap = 2000 } } | a guarantee above the cap of quotas",
                "organisation \"a\" { requests { per = 1s guarantee = 600 cap = 800 } } organisation \"b\" { requests { per = 1s "
                        + "guarantee = 500 cap = 800 } } | with this one 1100 requests are guaranteed beneath quotas, more than its cap",
                "organisation \"a\" { requests { per = 1s guarantee = 500 cap = 800 } app \"p\" { requests { per = 1s guarantee = 501 "
                        + "cap = 800 } } } | a guarantee above the guarantee of organisation \"a\"",
                "organisation \"a\" { requests { per = 1 cap = 800 } } | a bare number where a duration belongs",
                "organisation \"a\" { requests { per = 1s cap = 1 } requests { per = 1000ms cap = 2 } } | a second quota for requests",
                "organisation \"a\" { writes { per = 1s cap = 10 guarantee = 11 } } | a guarantee above the cap",
                "organisation \"each\" { writes { per = 1s cap = 10 guarantee = 1 } } | has no bound",
                "organisation \"a\" { } organisation \"a\" { } | stands there already",
                "organisation \"a\" { bytes { per = 2h cap = 1MB } } | out of range",
                "organisation \"a\" { bytes { per = 1m cap = 1000 } } | a bare number where a size belongs"
            })
    void aQuotaMistakeIsReportedWithItsPositionAndFix(String inside, String message) throws Exception {
        Path file = folder.resolve("q.conf");
        Files.writeString(
                file,
                ("quotas {\nrequests {\nper = 1s\ncap = 1000\n}\n" + inside + "\n}\n")
                        .replace("{ ", "{\n")
                        .replace(" }", "\n}")
                        .replace("} ", "}\n")
                        .replaceAll(" (cap|guarantee) =", "\n$1 ="));
        assertThat(run("config", "check", file.toString())).isEqualTo(1);
        assertThat(err).as(Files.readString(file)).contains(message).containsPattern("q\\.conf:\\d+:\\d+: ");
    }

    @Test
    void theExampleIsValidAndADifferenceIsReported() throws Exception {
        assertThat(run("config", "check", EXAMPLE)).as(err).isZero();
        assertThat(out).contains("quotas of 4 organisations");
        assertThat(run("config", "format", "--check", EXAMPLE)).as(out).isZero();
        Path other = folder.resolve("other.conf");
        Files.writeString(
                other,
                Files.readString(Path.of(EXAMPLE))
                        .replace("guarantee = 500", "guarantee = 450")
                        .replace("guarantee = 350", "guarantee = 300"));
        assertThat(run("config", "diff", EXAMPLE, other.toString())).isEqualTo(1);
        assertThat(out).contains("~ quotas").contains("450").contains("all organisations");
        Files.writeString(other, "pool \"a\" {}\nroute \"r\" {\n  pool = a\n}\n");
        assertThat(run("quota", "replay", "--edge", other.toString(), other.toString()))
                .isEqualTo(1);
        assertThat(err).contains("has no quotas");
    }
}
