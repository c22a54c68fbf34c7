package cacheproxy.model;

import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;

/**
 * Measures how soon membership converges, over many seeds: after a simultaneous start of all instances, a crash, a
 * return, a partition and its end; how often a running instance is declared dead; and the bytes sent.
 *
 * @param instances number of instances in the fleet
 * @param loss share of messages lost, 0 to 1
 * @param times milliseconds until all had converged after each event, one row per seed
 * @param falseDeaths running instances declared dead, in all seeds together
 * @param quietHours hours observed for them, all seeds together
 * @param quietBytes bytes per second and instance while nothing happened, mean over the seeds
 * @param mostBytes bytes per second of the instance that sent most over its whole life, in the worst seed
 */
public record ViewStudy(
        int instances,
        double loss,
        List<double[]> times,
        int falseDeaths,
        double quietHours,
        double quietBytes,
        double mostBytes) {
    /** What is timed, in the order of the rows. */
    public static final List<String> EVENTS = List.of(
            "all start at once",
            "one crashes: known to all",
            "it returns, remembering nothing",
            "a quarter is cut off",
            "the cut heals");

    private static final double LIMIT_MS = 120_000;
    private static final double CUT_MS = 6000;
    /** Share of messages that are duplicated. */
    private static final double TWICE = 0.02;

    private record Play(double[] times, int falseDeaths, double quietMs, double quietBytes, double mostBytes) {}

    /**
     * Runs {@code seeds} consecutive seeds from {@code seed} in parallel. {@code quietMs}: length of the period without
     * events that is observed for false deaths.
     */
    public static ViewStudy of(int instances, double loss, long seed, int seeds, double quietMs) {
        List<Play> plays = LongStream.range(seed, seed + seeds)
                .parallel()
                .mapToObj(s -> play(instances, loss, s, quietMs))
                .toList();
        return new ViewStudy(
                instances,
                loss,
                plays.stream().map(Play::times).toList(),
                plays.stream().mapToInt(Play::falseDeaths).sum(),
                plays.stream().mapToDouble(Play::quietMs).sum() / 3_600_000,
                plays.stream().mapToDouble(Play::quietBytes).average().orElse(0),
                plays.stream().mapToDouble(Play::mostBytes).max().orElse(0));
    }

    private static Play play(int instances, double loss, long seed, double quietMs) {
        ViewPlay p = new ViewPlay(instances, loss, TWICE, seed);
        double[] times = new double[EVENTS.size()];
        times[0] = p.until(p::settled, LIMIT_MS);
        p.pass(5000);
        double before = p.bytes()[1];
        p.countFalseDeaths();
        p.pass(quietMs);
        double quiet = (p.bytes()[1] - before) / quietMs * 1000;
        int falseDeaths = p.falseDeaths();
        int one = (int) (seed % instances);
        p.kill(one);
        times[1] = p.until(() -> p.allHold(one, false), LIMIT_MS);
        p.pass(3000);
        p.start(one, 0);
        times[2] = p.until(() -> p.allHold(one, true), LIMIT_MS);
        p.pass(3000);
        p.cut(i -> i % 4 == 1);
        times[3] = p.until(p::settled, LIMIT_MS);
        p.pass(Math.max(0, CUT_MS - times[3]));
        p.heal();
        times[4] = p.until(p::settled, LIMIT_MS);
        return new Play(times, falseDeaths, quietMs, quiet, p.bytes()[0] / p.now() * 1000);
    }

    /** The times of one event, sorted. */
    public double[] sorted(int event) {
        return times.stream().mapToDouble(t -> t[event]).sorted().toArray();
    }

    /** A text table. */
    public String text() {
        StringBuilder s = new StringBuilder(String.format(
                Locale.ROOT,
                "%d instances, %.0f%% of messages lost, %d seeds%n%-36s" + "%10s%10s%10s%n",
                instances,
                100 * loss,
                times.size(),
                "seconds until all hold the same",
                "median",
                "p99",
                "worst"));
        for (int e = 0; e < EVENTS.size(); e++) {
            double[] t = sorted(e);
            s.append(String.format(
                    Locale.ROOT,
                    "%-36s%10.2f%10.2f%10.2f%n",
                    EVENTS.get(e),
                    t[t.length / 2] / 1000,
                    t[(int) Math.min(t.length - 1, Math.floor(t.length * 0.99))] / 1000,
                    t[t.length - 1] / 1000));
        }
        return s.append(String.format(
                        Locale.ROOT,
                        "%d false deaths in %.2f hours; %.0f bytes a second and instance while nothing "
                                + "happens, %.0f over its life at the one that sent most%n",
                        falseDeaths,
                        quietHours,
                        quietBytes,
                        mostBytes))
                .toString();
    }
}
