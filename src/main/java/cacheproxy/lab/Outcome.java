package cacheproxy.lab;

import cacheproxy.emulator.Oracle;
import cacheproxy.emulator.Series;
import cacheproxy.emulator.Series.What;
import cacheproxy.load.Report;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * The outcome of one run of a scenario. All times count from the end of the lead-in.
 *
 * @param report the load generator's report
 * @param verdict the oracle's verdict on the rules
 * @param rows counts per proxy and second
 * @param fine counts over all proxies per tenth of a second
 * @param looks samples of the proxies' views of the fleet, with times in ms
 * @param died the proxy that exited unexpectedly, with the end of its log; null if none did
 */
public record Outcome(
        Scenario scenario,
        long seed,
        Report report,
        Oracle.Verdict verdict,
        List<Series.Row> rows,
        List<long[]> fine,
        List<Look> looks,
        String died) {
    /**
     * A sample of all proxies' views of the fleet. {@code open}: for each proxy the share of each zone that is open to
     * it; empty for a proxy that is down, makes no zone decisions or hears from too few peers. {@code staleDecisions}:
     * the total so far.
     */
    public record Look(
            double atMs, boolean settled, long refutedDeaths, List<List<Double>> open, long staleDecisions) {}

    /**
     * Fraction of the rules' answer grace that the lab's own pauses may take; longer ones make responses late by
     * themselves.
     */
    static final double PAUSE_PART = 0.5;

    /** Whether all expectations held, one was broken, or the machine was too busy to judge. */
    public enum Judgement {
        HELD,
        BROKEN,
        TOO_BUSY
    }

    /** The fraction of the counted requests that were served in time. */
    public double served() {
        return (double) report.served() / Math.max(1, report.requests());
    }

    /** The fraction of the requests that were sent late by more than the tolerated pause. */
    public double leftLate() {
        return 1 - report.lag().getPercentileAtOrBelowValue((long) (bearablePauseMs() * 1e3)) / 100;
    }

    private double bearablePauseMs() {
        return PAUSE_PART * scenario.fleet().answerGraceMs();
    }

    /** Total of a count over all proxies. */
    public long total(What what) {
        return rows.stream().mapToLong(r -> r.counts().getOrDefault(what, 0L)).sum();
    }

    /** Total of a count over all proxies between two times, which are rounded to a tenth of a second. */
    public double sum(What what, double fromMs, double toMs) {
        int from = (int) Math.max(0, Math.round(fromMs / Series.TENTH_MS));
        int to = (int) Math.min(fine.size(), Math.round(toMs / Series.TENTH_MS));
        long n = 0;
        for (int t = from; t < to; t++) {
            n += fine.get(t)[what.ordinal()];
        }
        return n;
    }

    /**
     * Milliseconds from the given time until the views were converged and stayed so until the next fault; infinite if
     * they did not.
     */
    public double settledAfter(double fromMs) {
        double next = scenario.bands().stream()
                .mapToDouble(Scenario.Band::fromMs)
                .filter(t -> t > fromMs)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
        double since = Double.POSITIVE_INFINITY;
        for (Look l : looks) {
            if (l.atMs() >= fromMs && l.atMs() < next) {
                since = !l.settled() ? Double.POSITIVE_INFINITY : Math.min(since, l.atMs());
            }
        }
        return since - fromMs;
    }

    /** The results of all expectations. */
    public List<Expectation.Result> results() {
        Stream<Expectation.Result> more = died == null
                ? Stream.empty()
                : Stream.of(new Expectation.Result(
                        "processes", false, died.lines().findFirst().orElse(""), "none dies by itself"));
        return Stream.concat(scenario.expectations().stream().map(e -> e.check(this)), more)
                .toList();
    }

    /** Why the machine was too busy for a verdict; null if it was not. */
    public String busy() {
        double pause = report.pauses().getMaxValue() / 1e3;
        double most = bearablePauseMs();
        if (pause > most) {
            return String.format(
                    Locale.ROOT, "the lab's process stood still for %.0f ms, and %.0f are bearable", pause, most);
        }
        return report.keptSchedule() ? null : "requests left later than they were meant to";
    }

    /** The overall judgement. */
    public Judgement judgement() {
        if (died != null) {
            return Judgement.BROKEN;
        }
        List<Expectation> broken = scenario.expectations().stream()
                .filter(e -> !e.check(this).held())
                .toList();
        if (broken.isEmpty()) {
            return Judgement.HELD;
        }
        return busy() != null && broken.stream().allMatch(e -> e.mayBeCausedByLab(this))
                ? Judgement.TOO_BUSY
                : Judgement.BROKEN;
    }
}
