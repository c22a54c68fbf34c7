package cacheproxy.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides over the lines of a trace, in the trace's own time. What an answer comes to is known there when it is asked
 * for.
 */
public final class QuotaReplay {
    /** The columns of a trace. */
    public static final String HEADER = "time_ms,org,app,device,bytes,write";

    private static final int COLUMNS = 6;
    private static final int MAX_LINE_LENGTH = 4096;
    /** Organisations that are told of one by one; further ones are added up. */
    private static final int MAX_SHOWN = 50;

    /** A line that can't be read, with its number and the likely fix. */
    public static final class TraceException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        TraceException(String message) {
            super(message);
        }
    }

    /** What came of one organisation's requests. */
    private static final class Sum {
        long requests;
        long admitted;
        long bytes;
    }

    private final String name;
    private final QuotaTree tree;
    private final QuotaCharge ticket = new QuotaCharge();
    private final Map<String, Sum> sums = new TreeMap<>();
    private int lineNumber;
    private double latestMs = Double.NEGATIVE_INFINITY;
    private double firstMs = Double.NaN;

    /** {@code name}: of the trace, for messages. */
    public QuotaReplay(String name, QuotaSpec quotas, long seed) {
        this.name = name;
        tree = new QuotaTree(quotas, QuotaTree.MAX_UNNAMED, seed);
    }

    /**
     * The line with what was decided behind it; null for a header or an empty line.
     *
     * @throws TraceException it can't be read, or is earlier than the one before it
     */
    public String line(String line) {
        lineNumber++;
        if (line.isBlank() || (lineNumber == 1 && line.startsWith("time_ms"))) {
            return null;
        }
        String[] columns = line.strip().split(",", -1);
        if (line.length() > MAX_LINE_LENGTH || columns.length != COLUMNS) {
            throw malformed(columns.length + " columns", "write " + HEADER);
        }
        double at = lineNumber(columns[0], "a time in milliseconds");
        if (at < latestMs) {
            throw malformed("earlier than the line before it", "sort the trace by time: sort -t, -k1,1g");
        }
        latestMs = at;
        firstMs = Double.isNaN(firstMs) ? at : firstMs;
        double bytes = lineNumber(columns[4], "a number of bytes");
        if (bytes < 0 || bytes != Math.rint(bytes) || bytes > 1e15) {
            throw malformed("'" + columns[4] + "' where a number of bytes belongs", "write a whole number from 0");
        }
        if (!columns[5].equals("0") && !columns[5].equals("1")) {
            throw malformed("'" + columns[5] + "' where 0 or 1 belongs", "write 1 for a write, 0 for a read");
        }
        double wait = tree.admit(at, path(columns), (long) bytes, columns[5].equals("1"), ticket);
        boolean shown = sums.size() < MAX_SHOWN || sums.containsKey(columns[1]);
        Sum sum = sums.computeIfAbsent(shown ? columns[1] : "others", k -> new Sum());
        sum.requests++;
        if (wait == 0) {
            tree.settle(at, ticket, (long) bytes);
            sum.admitted++;
            sum.bytes += (long) bytes;
        }
        return line.strip() + (wait == 0 ? ",1,0" : ",0," + (long) Math.ceil(wait));
    }

    /** Down to the last level that is named. */
    private static String[] path(String[] columns) {
        int levels = 3;
        while (levels > 0 && columns[levels].isEmpty()) {
            levels--;
        }
        return Arrays.copyOfRange(columns, 1, 1 + levels);
    }

    private double lineNumber(String word, String what) {
        try {
            double value = Double.parseDouble(word.strip());
            if (Math.abs(value) < 1e16) {
                return value;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw malformed("'" + word + "' where " + what + " belongs", "write digits, as 1500");
    }

    private TraceException malformed(String what, String fix) {
        return new TraceException(name + ":" + lineNumber + ": " + what + "; " + fix);
    }

    /** What came of it, by organisation. */
    public List<String> table() {
        List<String> lines = new ArrayList<>();
        double seconds = Math.max(0.001, (latestMs - firstMs) / 1000);
        lines.add(String.format(
                Locale.ROOT,
                "%-24s %12s %12s %9s %12s %14s",
                "organisation",
                "asked",
                "admitted",
                "part",
                "a second",
                "bytes a second"));
        sums.forEach((org, s) -> lines.add(String.format(
                Locale.ROOT,
                "%-24s %12d %12d %8.2f%% %12.1f %14.0f",
                org,
                s.requests,
                s.admitted,
                100.0 * s.admitted / s.requests,
                s.admitted / seconds,
                s.bytes / seconds)));
        return lines;
    }
}
