package cacheproxy.load;

import java.util.List;
import java.util.Locale;

/** Line chart with rounded axis labels, as an SVG element for use inside an HTML page. */
public final class LineChart {
    private static final int WIDTH = 860;
    private static final int HEIGHT = 300;
    private static final int LEFT = 70;
    private static final int BOTTOM = 40;
    private static final int TOP = 24;

    /**
     * One line of a chart.
     *
     * @param name its text in the legend
     * @param colour a CSS colour
     * @param points pairs of x and y, neither negative
     */
    public record Line(String name, String colour, List<double[]> points) {}

    /** A named range on the x axis that is shaded behind the lines. */
    public record Band(String name, double from, double to) {}

    private LineChart() {}

    /** Escapes text for HTML. */
    public static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    /** Draws the lines on axes that start at 0; {@code across} labels the x axis and {@code up} the y axis. */
    public static String svg(String across, String up, List<Line> lines) {
        return svg(across, up, lines, List.of());
    }

    /** Draws the lines over shaded ranges. */
    public static String svg(String across, String up, List<Line> lines, List<Band> bands) {
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
        for (Band b : bands) {
            double from = x(Math.max(0, Math.min(b.from(), maxX)), maxX);
            double to = x(Math.max(0, Math.min(b.to(), maxX)), maxX);
            s.append(String.format(
                    Locale.ROOT,
                    "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"#b00020\" "
                            + "fill-opacity=\"0.1\"><title>%s</title></rect>",
                    from,
                    TOP,
                    Math.max(1, to - from),
                    HEIGHT - BOTTOM - TOP,
                    escape(b.name())));
        }
        for (double y = 0; y <= top + step / 2; y += step) {
            double at = y(y, top);
            s.append(String.format(
                    Locale.ROOT,
                    "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/>"
                            + "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>",
                    LEFT,
                    WIDTH - 10,
                    at,
                    at,
                    LEFT - 6,
                    at + 4,
                    figure(y)));
        }
        double stepX = nice(maxX / 8);
        for (double x = 0; x <= maxX + 1e-9; x += stepX) {
            s.append(String.format(
                    Locale.ROOT,
                    "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%s</text>",
                    x(x, maxX),
                    HEIGHT - BOTTOM + 16,
                    figure(x)));
        }
        s.append(String.format(
                Locale.ROOT,
                "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%s</text>" + "<text x=\"4\" y=\"14\">%s</text>",
                WIDTH / 2,
                HEIGHT - 6,
                escape(across),
                escape(up)));
        int legend = LEFT + 40;
        for (Line l : lines) {
            s.append("<polyline fill=\"none\" stroke-width=\"1.6\" stroke=\"")
                    .append(l.colour())
                    .append("\" points=\"");
            for (double[] p : l.points()) {
                s.append(String.format(Locale.ROOT, "%.1f,%.1f ", x(p[0], maxX), y(p[1], top)));
            }
            s.append(String.format(
                    Locale.ROOT,
                    "\"/><rect x=\"%d\" y=\"6\" width=\"10\" height=\"10\" fill=\"%s\"/>"
                            + "<text x=\"%d\" y=\"15\">%s</text>",
                    legend,
                    l.colour(),
                    legend + 14,
                    escape(l.name())));
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

    /** Rounds up to 1, 2 or 5 times a power of ten. */
    private static double nice(double raw) {
        double power = Math.pow(10, Math.floor(Math.log10(raw)));
        double rest = raw / power;
        return power * (rest <= 1 ? 1 : rest <= 2 ? 2 : rest <= 5 ? 5 : 10);
    }

    private static String figure(double v) {
        return v == Math.rint(v)
                ? String.format(Locale.ROOT, "%.0f", v)
                : String.format(Locale.ROOT, v < 0.1 ? "%.3f" : "%.1f", v);
    }
}
