package cacheproxy.model;

import cacheproxy.load.LineChart;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Report of one run, as text, JSON or an HTML page.
 *
 * @param day the scenario
 * @param draw the deployment
 * @param tally the counters
 * @param rules the rule violations
 */
public record PlayReport(Day day, FleetDraw draw, Tally tally, Rules rules) {
    /** Length in seconds of the windows among which the worst is reported, as the operators do. */
    private static final int WORST_SPAN = 10;

    private static final String[] COLOURS = {"#2b6cb0", "#c05621", "#2f855a", "#9b2c2c", "#6b46c1", "#b7791f"};

    /** Runs a scenario for a number of seconds. */
    public static PlayReport of(Day day, FleetDraw draw, double seconds) {
        return of(day, draw, seconds, false);
    }

    /** Runs a scenario with zone failover on or off. */
    public static PlayReport of(Day day, FleetDraw draw, double seconds, boolean leaves) {
        FleetPlay p = day.play(draw, seconds);
        if (leaves) {
            p.leaveZones();
        }
        p.run();
        return new PlayReport(day, draw, p.tally(), p.rules());
    }

    private String title() {
        return String.format(
                Locale.ROOT,
                "%s, %d instances before %d nodes, seed %d",
                day.name().toLowerCase(Locale.ROOT),
                draw.instances(),
                draw.nodes(),
                draw.seed());
    }

    /** Summary line: worth, and whether the rules held. */
    public String line() {
        return String.format(
                Locale.ROOT,
                "%-6s seed %-6d worth %.3f, worst %d s %.3f, %.2f attempts a request, %s",
                day.name().toLowerCase(Locale.ROOT),
                draw.seed(),
                tally.worth(),
                WORST_SPAN,
                tally.worstWorth(WORST_SPAN),
                perRequest(Figure.ATTEMPTS),
                rules.kept() ? "rules kept" : "BROKEN " + rules.counts());
    }

    private double perRequest(Figure f) {
        return tally.total(f) / Math.max(1, tally.total(Figure.REQUESTS));
    }

    /** All counters, and the first rule violations. */
    public String text() {
        StringBuilder s =
                new StringBuilder(title()).append('\n').append(day.words()).append("\n\n");
        s.append(line()).append("\n\n");
        s.append(String.format("%-34s %12s %12s %12s%n", "", "in all", "a second", "a request"));
        for (Figure f : Figure.values()) {
            s.append(String.format(
                    Locale.ROOT,
                    "%-34s %,12.0f %,12.1f %12.4f%n",
                    f.words(),
                    tally.total(f),
                    tally.total(f) / tally.seconds(),
                    perRequest(f)));
        }
        for (Rules.Broken b : rules.told()) {
            s.append(String.format(
                    Locale.ROOT, "%n%s at %.3f s: %s", b.rule(), (b.atMs() - FleetPlay.START_MS) / 1000, b.what()));
        }
        return s.append('\n').toString();
    }

    /** Deployment, totals, counters per second, and rule violations. */
    public JsonObject json() {
        JsonObject o = new JsonObject();
        o.addProperty("day", day.name().toLowerCase(Locale.ROOT));
        o.addProperty("seed", draw.seed());
        o.addProperty("instances", draw.instances());
        o.addProperty("nodes", draw.nodes());
        o.addProperty("places", draw.places());
        o.addProperty("load", draw.load());
        o.addProperty("worth", tally.worth());
        o.addProperty("worst_worth", tally.worstWorth(WORST_SPAN));
        JsonObject totals = new JsonObject();
        JsonObject seconds = new JsonObject();
        for (Figure f : Figure.values()) {
            String name = f.name().toLowerCase(Locale.ROOT);
            totals.addProperty(name, tally.total(f));
            JsonArray row = new JsonArray();
            for (int i = 0; i < tally.seconds(); i++) {
                row.add(tally.at(i, f));
            }
            seconds.add(name, row);
        }
        o.add("totals", totals);
        o.add("by_second", seconds);
        JsonObject broken = new JsonObject();
        for (Map.Entry<Rules.Rule, Integer> e : rules.counts().entrySet()) {
            broken.addProperty(e.getKey().name().toLowerCase(Locale.ROOT), e.getValue());
        }
        o.add("broken", broken);
        return o;
    }

    /** A self-contained HTML page. */
    public static String html(List<PlayReport> reports) {
        StringBuilder s = new StringBuilder("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
                + "model of the fleet</title><style>body{font:15px/1.5 system-ui,sans-serif;max-width:900px;margin:2em auto;"
                + "padding:0 1em;color:#222}pre{background:#f5f5f2;padding:1em;overflow:auto}svg{width:100%;height:auto;"
                + "font:12px system-ui,sans-serif}</style></head><body><h1>The fleet in virtual time</h1>");
        for (PlayReport r : reports) {
            s.append("<h2>")
                    .append(LineChart.escape(r.title()))
                    .append("</h2><pre>")
                    .append(LineChart.escape(r.text()))
                    .append("</pre>");
            s.append(r.worthChart());
            s.append(r.chart(Figure.FIRST_TRIES, Figure.REQUESTS, Figure.ATTEMPTS, Figure.REFUSED, Figure.FAILED));
            s.append(r.chart(Figure.NO_PLACE, Figure.CONNECTIONS, Figure.FETCHES, Figure.CALLS, Figure.MESSAGES));
        }
        return s.append("</body></html>\n").toString();
    }

    private String worthChart() {
        List<double[]> points = new ArrayList<>();
        for (int i = 0; i < tally.seconds(); i++) {
            double asked = tally.at(i, Figure.WORTH_ASKED);
            points.add(new double[] {i, asked == 0 ? 1 : tally.at(i, Figure.WORTH_EARNED) / asked});
        }
        return LineChart.svg(
                "s", "worth earned of what was asked for", List.of(new LineChart.Line("worth", COLOURS[0], points)));
    }

    private String chart(Figure... figures) {
        List<LineChart.Line> lines = new ArrayList<>();
        for (Figure f : figures) {
            List<double[]> points = new ArrayList<>();
            for (int i = 0; i < tally.seconds(); i++) {
                points.add(new double[] {i, tally.at(i, f)});
            }
            lines.add(new LineChart.Line(f.words(), COLOURS[lines.size()], points));
        }
        return LineChart.svg("s", "a second", lines);
    }
}
