package cacheproxy.lab;

import cacheproxy.emulator.Oracle;
import cacheproxy.emulator.Series;
import cacheproxy.emulator.Series.What;
import cacheproxy.load.Report;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * What came of one run of a scenario.
 *
 * @param report of the clients
 * @param verdict on the rules
 * @param rows what each proxy did, second by second from the lead-in's end
 * @param fine what all of them did together, by tenths of a second from the lead-in's end
 * @param looks what the proxies said of the fleet, their times in ms from the lead-in's end
 * @param died the proxy that ended by itself, with the end of its log; null if none did
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
     * What all proxies said of the fleet at one time. {@code open}: for each proxy how far each zone is open to it,
     * empty for one that is away, decides nothing of zones or hears too little of the fleet. {@code staleDecisions}: so
     * far.
     */
    public record Look(
            double atMs, boolean settled, long refutedDeaths, List<List<Double>> open, long staleDecisions) {}

    /** Longer pauses of the lab's own process make an answer late by themselves: half of what the rules give one. */
    static final double PAUSE_PART = 0.5;

    /** Whether all held, something was broken, or the machine was too busy to tell. */
    public enum Judgement {
        HELD,
        BROKEN,
        TOO_BUSY
    }

    /** The part of the counted requests that was served in time. */
    public double served() {
        return (double) report.served() / Math.max(1, report.requests());
    }

    /** The part of the requests that left later than they were meant to, by more than a bearable pause. */
    public double leftLate() {
        return 1 - report.lag().getPercentileAtOrBelowValue((long) (bearablePauseMs() * 1e3)) / 100;
    }

    private double bearablePauseMs() {
        return PAUSE_PART * scenario.fleet().answerGraceMs();
    }

    /** How often something was seen, over all proxies. */
    public long total(What what) {
        return rows.stream().mapToLong(r -> r.counts().getOrDefault(what, 0L)).sum();
    }

    /** How often something was seen from one time until another, over all proxies; to a tenth of a second. */
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
     * Milliseconds from a time until a view was seen settled and stayed so until the next fault; infinite for never.
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

    /** Each expectation held against it. */
    public List<Expectation.Result> results() {
        Stream<Expectation.Result> more = died == null
                ? Stream.empty()
                : Stream.of(new Expectation.Result(
                        "processes", false, died.lines().findFirst().orElse(""), "none dies by itself"));
        return Stream.concat(scenario.expectations().stream().map(e -> e.check(this)), more)
                .toList();
    }

    /** By which measure the lab's machine was too busy to judge by; null if it was not. */
    public String busy() {
        double pause = report.pauses().getMaxValue() / 1e3;
        double most = bearablePauseMs();
        if (pause > most) {
            return String.format(
                    Locale.ROOT, "the lab's process stood still for %.0f ms, and %.0f are bearable", pause, most);
        }
        return report.keptSchedule() ? null : "requests left later than they were meant to";
    }

    /** The whole of it. */
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
        return busy() != null && broken.stream().allMatch(e -> e.mayBeTheLabs(this))
                ? Judgement.TOO_BUSY
                : Judgement.BROKEN;
    }
}
