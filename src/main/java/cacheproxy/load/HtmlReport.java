package cacheproxy.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;

/** Renders a report as a self-contained HTML page: summary, latency percentiles and time series as inline SVG. */
public final class HtmlReport {
    private HtmlReport() {}

    /** Writes the report as an HTML file. */
    public static void write(Report report, String title, Path file) throws IOException {
        Files.writeString(file, page(report, title));
    }

    static String page(Report r, String title) {
        StringBuilder s = new StringBuilder("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(LineChart.escape(title))
                .append("</title><style>body{font:15px/1.5 system-ui,sans-serif;max-width:900px;"
                        + "margin:2em auto;padding:0 1em;color:#222}pre{background:#f5f5f2;padding:1em;overflow:auto}"
                        + "svg{width:100%;height:auto;font:12px system-ui,sans-serif}.bad{color:#b00020;font-weight:600}"
                        + "</style></head><body><h1>")
                .append(LineChart.escape(title))
                .append("</h1>");
        s.append(
                r.keptSchedule()
                        ? "<p>The schedule was kept.</p>"
                        : "<p class=\"bad\">The schedule was not kept: requests left later than they were meant to.</p>");
        s.append("<pre>").append(LineChart.escape(r.text())).append("</pre>");
        s.append("<h2>Latency by percentile</h2>").append(percentiles(r));
        s.append("<h2>Latency over time</h2>")
                .append(LineChart.svg(
                        "s",
                        "ms",
                        List.of(
                                series(r, "p50", "#2b6cb0", Recorder.Row::p50),
                                series(r, "p99", "#c05621", Recorder.Row::p99),
                                series(r, "max", "#9b2c2c", Recorder.Row::max))));
        s.append("<h2>Requests over time</h2>")
                .append(LineChart.svg(
                        "s",
                        "per row",
                        List.of(
                                series(r, "sent", "#555555", Recorder.Row::sent),
                                series(r, "served", "#2f855a", Recorder.Row::served),
                                series(r, "refused", "#b7791f", Recorder.Row::refused),
                                series(r, "failed", "#9b2c2c", Recorder.Row::failed),
                                series(r, "unanswered", "#6b46c1", Recorder.Row::unanswered))));
        return s.append("</body></html>\n").toString();
    }

    private static LineChart.Line series(Report r, String name, String colour, ToDoubleFunction<Recorder.Row> what) {
        return new LineChart.Line(
                name,
                colour,
                r.rows().stream()
                        .map(row -> new double[] {row.second(), what.applyAsDouble(row)})
                        .toList());
    }

    /** The x axis is the number of nines, so that 90%, 99% and 99.9% are evenly spaced. */
    private static String percentiles(Report r) {
        double nines = Math.max(1, Math.ceil(Math.log10((double) Math.max(10, r.requests()))));
        List<LineChart.Line> lines = new ArrayList<>();
        lines.add(new LineChart.Line("latency", "#2b6cb0", curve(r.latency(), nines)));
        lines.add(new LineChart.Line("schedule lag", "#b7791f", curve(r.lag(), nines)));
        lines.add(new LineChart.Line("generator's own pauses", "#888888", curve(r.pauses(), nines)));
        return LineChart.svg("nines (1 = 90%, 2 = 99%, 3 = 99.9%)", "ms", lines);
    }

    private static List<double[]> curve(Histogram h, double nines) {
        List<double[]> points = new ArrayList<>();
        for (double x = 0; x <= nines + 1e-9; x += 0.05) {
            points.add(new double[] {x, h.getValueAtPercentile(100 - Math.pow(10, 2 - x)) / 1e3});
        }
        return points;
    }
}
