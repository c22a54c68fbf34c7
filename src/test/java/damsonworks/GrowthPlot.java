package damsonworks;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Figures against the number of instances, both on logarithmic scales: what grows in step with them is a straight line. */
final class GrowthPlot {
    private static final int WIDTH = 760;
    private static final int HEIGHT = 440;
    private static final int LEFT = 60;
    private static final int RIGHT = 250;
    private static final int TOP = 30;
    private static final int BOTTOM = 50;
    private static final double LOW = 0.1;
    private static final String[] COLOURS = {"#1b6ca8", "#d1495b", "#66a182", "#8d5a97", "#edae49", "#555555"};

    private GrowthPlot() { }

    /** Of each row the first columns, as many as there are names; what is under the scale is left out. */
    static String svg(List<String> names, Map<Integer, double[]> rows) {
        double most = rows.values().stream().mapToDouble(r -> {
            double high = LOW;
            for (int i = 0; i < names.size(); i++) {
                high = Math.max(high, r[i]);
            }
            return high;
        }).max().orElseThrow();
        int decades = (int) Math.ceil(Math.log10(most / LOW));
        int widest = rows.keySet().stream().mapToInt(n -> n).max().orElseThrow();
        StringBuilder svg = new StringBuilder(String.format(Locale.ROOT, "<svg xmlns=\"http://www.w3.org/2000/svg\" "
                + "width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">%n<rect width=\"100%%\" "
                + "height=\"100%%\" fill=\"white\"/>%n<text x=\"%d\" y=\"18\">a second, of all instances together</text>%n",
                WIDTH, HEIGHT, LEFT));
        for (int d = 0; d <= decades; d++) {
            double y = y(LOW * Math.pow(10, d), decades);
            svg.append(String.format(Locale.ROOT, "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/>"
                    + "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>%n", LEFT, WIDTH - RIGHT, y, y, LEFT - 6,
                    y + 4, d == 0 ? "0.1" : "1" + "0".repeat(d - 1)));
        }
        for (int n : rows.keySet()) {
            svg.append(String.format(Locale.ROOT, "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%d</text>%n",
                    x(n, widest), HEIGHT - BOTTOM + 18, n));
        }
        svg.append(String.format("<text x=\"%d\" y=\"%d\">instances</text>%n", LEFT, HEIGHT - 10));
        for (int i = 0; i < names.size(); i++) {
            line(svg, names.get(i), i, rows, widest, decades);
        }
        return svg.append("</svg>\n").toString();
    }

    private static void line(StringBuilder svg, String name, int column, Map<Integer, double[]> rows, int widest,
            int decades) {
        String colour = COLOURS[column % COLOURS.length];
        StringBuilder points = new StringBuilder();
        rows.forEach((n, row) -> {
            if (row[column] >= LOW) {
                points.append(String.format(Locale.ROOT, "%.1f,%.1f ", x(n, widest), y(row[column], decades)));
            }
        });
        int y = TOP + 10 + column * 20;
        svg.append(String.format("<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>%n"
                + "<rect x=\"%d\" y=\"%d\" width=\"12\" height=\"4\" fill=\"%s\"/><text x=\"%d\" y=\"%d\">%s</text>%n",
                points.toString().trim(), colour, WIDTH - RIGHT + 14, y - 6, colour, WIDTH - RIGHT + 32, y, name));
    }

    private static double x(int n, int widest) {
        return LEFT + 10 + (WIDTH - LEFT - RIGHT - 20) * Math.log(n) / Math.log(widest);
    }

    private static double y(double value, int decades) {
        return HEIGHT - BOTTOM - (HEIGHT - TOP - BOTTOM) * Math.log10(value / LOW) / decades;
    }
}
