package damsonworks.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;

/** A report as one page that needs nothing else: figures, percentiles and times as inline SVG. */
public final class HtmlReport {
    private static final int WIDTH = 860;
    private static final int HEIGHT = 300;
    private static final int LEFT = 70;
    private static final int BOTTOM = 40;
    private static final int TOP = 24;

    private record Line(String name, String colour, List<double[]> points) { }

    private HtmlReport() { }

    /** Writes the page. */
    public static void write(Report report, String title, Path file) throws IOException {
        Files.writeString(file, page(report, title));
    }

    static String page(Report r, String title) {
        StringBuilder s = new StringBuilder("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(title)).append("</title><style>body{font:15px/1.5 system-ui,sans-serif;max-width:900px;"
                + "margin:2em auto;padding:0 1em;color:#222}pre{background:#f5f5f2;padding:1em;overflow:auto}"
                + "svg{width:100%;height:auto;font:12px system-ui,sans-serif}.bad{color:#b00020;font-weight:600}"
                + "</style></head><body><h1>").append(escape(title)).append("</h1>");
        s.append(r.keptSchedule() ? "<p>The schedule was kept.</p>"
                : "<p class=\"bad\">The schedule was not kept: requests left later than they were meant to.</p>");
        s.append("<pre>").append(escape(r.text())).append("</pre>");
        s.append("<h2>Latency by percentile</h2>").append(percentiles(r));
        s.append("<h2>Latency over time</h2>").append(plot("s", "ms", List.of(
                series(r, "p50", "#2b6cb0", Recorder.Row::p50), series(r, "p99", "#c05621", Recorder.Row::p99),
                series(r, "max", "#9b2c2c", Recorder.Row::max))));
        s.append("<h2>Requests over time</h2>").append(plot("s", "per row", List.of(
                series(r, "sent", "#555555", Recorder.Row::sent), series(r, "served", "#2f855a", Recorder.Row::served),
                series(r, "refused", "#b7791f", Recorder.Row::refused),
                series(r, "failed", "#9b2c2c", Recorder.Row::failed),
                series(r, "unanswered", "#6b46c1", Recorder.Row::unanswered))));
        return s.append("</body></html>\n").toString();
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static Line series(Report r, String name, String colour, ToDoubleFunction<Recorder.Row> what) {
        return new Line(name, colour, r.rows().stream()
                .map(row -> new double[] {row.second(), what.applyAsDouble(row)}).toList());
    }

    /** The axis is the number of nines: 90%, 99%, 99.9% lie evenly. */
    private static String percentiles(Report r) {
        double nines = Math.max(1, Math.ceil(Math.log10(Math.max(10, r.requests()))));
        List<Line> lines = new ArrayList<>();
        lines.add(new Line("latency", "#2b6cb0", curve(r.latency(), nines)));
        lines.add(new Line("schedule lag", "#b7791f", curve(r.lag(), nines)));
        lines.add(new Line("generator's own pauses", "#888888", curve(r.pauses(), nines)));
        return plot("nines (1 = 90%, 2 = 99%, 3 = 99.9%)", "ms", lines);
    }

    private static List<double[]> curve(Histogram h, double nines) {
        List<double[]> points = new ArrayList<>();
        for (double x = 0; x <= nines + 1e-9; x += 0.05) {
            points.add(new double[] {x, h.getValueAtPercentile(100 - Math.pow(10, 2 - x)) / 1e3});
        }
        return points;
    }

    private static String plot(String across, String up, List<Line> lines) {
        double maxX = 1e-9;
        double maxY = 1e-9;
        for (Line l : lines) {
            for (double[] p : l.points()) {
                maxX = Math.max(maxX, p[0]);
                maxY = Math.max(maxY, p[1]);
            }
        }
        double step = nice(maxY / 5);
        double top = Math.ceil(maxY / step) * step;
        StringBuilder s = new StringBuilder();
        s.append(String.format(Locale.ROOT, "<svg viewBox=\"0 0 %d %d\" role=\"img\">", WIDTH, HEIGHT));
        for (double y = 0; y <= top + step / 2; y += step) {
            double at = y(y, top);
            s.append(String.format(Locale.ROOT, "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/>"
                    + "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>", LEFT, WIDTH - 10, at, at, LEFT - 6,
                    at + 4, figure(y)));
        }
        double stepX = nice(maxX / 8);
        for (double x = 0; x <= maxX + 1e-9; x += stepX) {
            s.append(String.format(Locale.ROOT, "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%s</text>",
                    x(x, maxX), HEIGHT - BOTTOM + 16, figure(x)));
        }
        s.append(String.format(Locale.ROOT, "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%s</text>"
                + "<text x=\"4\" y=\"14\">%s</text>", WIDTH / 2, HEIGHT - 6, escape(across), escape(up)));
        int legend = LEFT + 40;
        for (Line l : lines) {
            s.append("<polyline fill=\"none\" stroke-width=\"1.6\" stroke=\"").append(l.colour()).append("\" points=\"");
            for (double[] p : l.points()) {
                s.append(String.format(Locale.ROOT, "%.1f,%.1f ", x(p[0], maxX), y(p[1], top)));
            }
            s.append(String.format(Locale.ROOT, "\"/><rect x=\"%d\" y=\"6\" width=\"10\" height=\"10\" fill=\"%s\"/>"
                    + "<text x=\"%d\" y=\"15\">%s</text>", legend, l.colour(), legend + 14, escape(l.name())));
            legend += 30 + 8 * l.name().length();
        }
        return s.append("</svg>").toString();
    }

    private static double x(double x, double max) {
        return LEFT + x / max * (WIDTH - 10 - LEFT);
    }

    private static double y(double y, double top) {
        return HEIGHT - BOTTOM - y / top * (HEIGHT - BOTTOM - TOP);
    }

    /** The next of 1, 2 and 5 times a power of ten. */
    private static double nice(double raw) {
        double power = Math.pow(10, Math.floor(Math.log10(raw)));
        double rest = raw / power;
        return power * (rest <= 1 ? 1 : rest <= 2 ? 2 : rest <= 5 ? 5 : 10);
    }

    private static String figure(double v) {
        return v == Math.rint(v) ? String.format(Locale.ROOT, "%.0f", v)
                : String.format(Locale.ROOT, v < 0.1 ? "%.3f" : "%.1f", v);
    }
}
