package cacheproxy.lab;

import cacheproxy.emulator.Layout;
import cacheproxy.emulator.Oracle;
import cacheproxy.emulator.Series;
import cacheproxy.emulator.Series.What;
import cacheproxy.load.LineChart;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/** Renders outcomes as text, as JSON, and as an HTML page with a common time axis. */
public final class OutcomeText {
    private static final String[] COLOURS = {
        "#2b6cb0", "#c05621", "#2f855a", "#6b46c1", "#b7791f", "#9b2c2c", "#319795", "#d53f8c", "#555555", "#38a169",
        "#3182ce", "#dd6b20", "#805ad5", "#e53e3e", "#718096", "#000000"
    };

    private OutcomeText() {}

    /** A summary of a few lines. */
    public static String text(Outcome o) {
        StringBuilder s = new StringBuilder();
        s.append(String.format(
                Locale.ROOT,
                "%s, seed %d: %,d requests, %.1f%% served, %,d refused, %,d failed, %,d unanswered "
                        + "(%,d went down with a killed proxy, %,d were taken by none)%n",
                o.scenario().name(),
                o.seed(),
                o.report().requests(),
                100 * o.served(),
                o.report().refused(),
                o.report().failed(),
                o.report().unanswered(),
                o.verdict().excused(),
                o.verdict().untaken()));
        s.append(String.format(
                Locale.ROOT,
                "  %,d attempts, %,d fetches, %,d calls of discovery, %,d connections opened, " + "%,d messages%n",
                o.total(What.ATTEMPTS),
                o.total(What.FETCHES),
                o.total(What.CALLS),
                o.total(What.OPENED),
                o.total(What.MESSAGES)));
        o.results()
                .forEach(r -> s.append(String.format(
                        Locale.ROOT,
                        "  %-6s %-10s %s (%s)%n",
                        r.held() ? "held" : "BROKEN",
                        r.name(),
                        r.measured(),
                        r.bound())));
        o.verdict().examples().forEach((rule, some) -> s.append(String.format("  %s: %s%n", rule, some)));
        if (o.died() != null) {
            s.append(o.died()).append('\n');
        }
        if (o.judgement() == Outcome.Judgement.TOO_BUSY) {
            s.append("  no verdict: ").append(o.busy()).append('\n');
        }
        return s.toString();
    }

    /** Several outcomes as a JSON array. */
    public static String json(List<Outcome> outcomes) {
        JsonArray all = new JsonArray();
        outcomes.forEach(o -> all.add(json(o)));
        return new GsonBuilder().setPrettyPrinting().create().toJson(all) + "\n";
    }

    private static JsonObject json(Outcome o) {
        JsonObject j = new JsonObject();
        j.addProperty("scenario", o.scenario().name());
        j.addProperty("seed", o.seed());
        j.addProperty("judgement", o.judgement().name().toLowerCase(Locale.ROOT));
        if (o.busy() != null) {
            j.addProperty("busy", o.busy());
        }
        JsonArray rules = new JsonArray();
        for (Oracle.Rule rule : Oracle.Rule.values()) {
            JsonObject r = new JsonObject();
            r.addProperty("name", rule.name());
            r.addProperty("held", !o.verdict().breaches().containsKey(rule));
            JsonArray examples = new JsonArray();
            o.verdict().examples().getOrDefault(rule, List.of()).forEach(examples::add);
            r.add("examples", examples);
            rules.add(r);
        }
        j.add("rules", rules);
        JsonArray expect = new JsonArray();
        for (Expectation.Result result : o.results()) {
            JsonObject r = new JsonObject();
            r.addProperty("name", result.name());
            r.addProperty("held", result.held());
            r.addProperty("measured", result.measured());
            r.addProperty("bound", result.bound());
            expect.add(r);
        }
        j.add("expect", expect);
        JsonArray rows = new JsonArray();
        Layout layout = o.scenario().fleet().layout();
        for (Series.Row row : o.rows()) {
            JsonObject r = new JsonObject();
            r.addProperty("second", row.second());
            r.addProperty("proxy", row.proxy() < 0 ? "none" : "proxy-" + row.proxy());
            r.addProperty("zone", row.proxy() < 0 ? "none" : layout.zones().get(layout.zoneOf(row.proxy())));
            new TreeMap<>(row.counts())
                    .forEach((what, n) -> r.addProperty(what.name().toLowerCase(Locale.ROOT), n));
            JsonObject attempts = new JsonObject();
            for (int z = 0; z < row.attempts().length; z++) {
                attempts.addProperty(layout.zones().get(z), row.attempts()[z]);
            }
            r.add("attempts_by_zone", attempts);
            rows.add(r);
        }
        j.add("series", rows);
        j.add("clients", o.report().json());
        return j;
    }

    // ---- HTML page

    /** One page for several outcomes: their time series on a common time axis, with the faults as bands. */
    public static String html(List<Outcome> outcomes) {
        StringBuilder s =
                new StringBuilder("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Lab</title>"
                        + "<style>body{font:15px/1.5 system-ui,sans-serif;max-width:900px;margin:2em auto;padding:0 1em;color:#222}"
                        + "pre{background:#f5f5f2;padding:1em;overflow:auto}svg{width:100%;height:auto;font:12px system-ui,sans-serif}"
                        + "</style></head><body>");
        outcomes.forEach(o -> page(s, o));
        return s.append("</body></html>\n").toString();
    }

    private static void page(StringBuilder s, Outcome o) {
        Scenario scenario = o.scenario();
        Layout layout = scenario.fleet().layout();
        s.append("<h1>")
                .append(LineChart.escape(scenario.name()))
                .append(", seed ")
                .append(o.seed())
                .append("</h1><pre>")
                .append(LineChart.escape(text(o)))
                .append("</pre>");
        chart(
                s,
                o,
                "Requests by how they ended",
                List.of(
                        line(o, "served", 2, r -> n(r, What.SERVED)),
                        line(o, "late", 4, r -> n(r, What.LATE)),
                        line(o, "refused", 1, r -> n(r, What.REFUSED)),
                        line(o, "failed", 5, r -> n(r, What.FAILED)),
                        line(o, "unanswered", 3, r -> n(r, What.UNANSWERED))));
        List<LineChart.Line> zones = new ArrayList<>();
        List<LineChart.Line> proxies = new ArrayList<>();
        for (int z = 0; z < layout.zones().size(); z++) {
            int zone = z;
            zones.add(line(o, layout.zones().get(z), z, r -> r.attempts()[zone]));
        }
        for (int p = 0; p < Math.min(COLOURS.length, scenario.fleet().proxies()); p++) {
            int proxy = p;
            proxies.add(line(o, "" + p, p, r -> r.proxy() == proxy ? n(r, What.ASKED) : 0));
        }
        chart(s, o, "Attempts at cache nodes by their zone", zones);
        chart(s, o, "Requests by the proxy that took them", proxies);
        chart(
                s,
                o,
                "At the origin and discovery",
                List.of(line(o, "fetches", 0, r -> n(r, What.FETCHES)), line(o, "calls", 1, r -> n(r, What.CALLS))));
        chart(
                s,
                o,
                "Connections opened, messages sent",
                List.of(
                        line(o, "opened", 0, r -> n(r, What.OPENED)),
                        line(o, "messages", 1, r -> n(r, What.MESSAGES))));
    }

    private static double n(Series.Row row, What what) {
        return row.counts().getOrDefault(what, 0L);
    }

    private static void chart(StringBuilder s, Outcome o, String title, List<LineChart.Line> lines) {
        s.append("<h2>")
                .append(title)
                .append("</h2>")
                .append(LineChart.svg(
                        "s",
                        "a second",
                        lines,
                        o.scenario().bands().stream()
                                .map(b -> new LineChart.Band(b.name(), b.fromMs() / 1000, b.toMs() / 1000))
                                .toList()));
    }

    private static LineChart.Line line(Outcome o, String name, int colour, ToDoubleFunction<Series.Row> what) {
        int last = o.rows().stream().mapToInt(Series.Row::second).max().orElse(0);
        double[] sums = new double[last + 1];
        o.rows().forEach(r -> sums[r.second()] += what.applyAsDouble(r));
        List<double[]> points = new ArrayList<>();
        for (int i = 0; i <= last; i++) {
            points.add(new double[] {i, sums[i]});
        }
        return new LineChart.Line(name, COLOURS[colour % COLOURS.length], points);
    }
}
