package cacheproxy.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Replays a trace of requests through a quota tree, in the trace's own time, with sizes known on arrival. */
public final class QuotaReplay {
    /** The columns of a trace. */
    public static final String HEADER = "time_ms,org,app,device,bytes,write";

    private static final String HEADER_START = "time_ms";
    private static final int COLUMNS = 6;
    private static final int TIME = 0;
    private static final int ORGANISATION = 1;
    /** Columns from {@link #ORGANISATION} on that name the owner. */
    private static final int LEVELS = 3;

    private static final int BYTES = 4;
    private static final int WRITE = 5;
    /** Numbers of this absolute value or more are rejected. */
    private static final double MAX_NUMBER = 1e16;

    private static final double MAX_BYTES = 1e15;
    private static final int MAX_LINE_LENGTH = 4096;
    /** Organisations with a row of their own in the table; all others share one row. */
    private static final int MAX_ROWS = 50;

    private static final String OTHERS = "others";

    /** A line of a trace is malformed; the message has the trace, the line number and the likely fix. */
    public static final class TraceException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        TraceException(String message) {
            super(message);
        }
    }

    /** A line of a trace. */
    private record TraceRequest(double timeMs, String organisation, String[] path, long bytes, boolean write) {}

    /** The totals of one organisation. */
    private static final class Totals {
        long requests;
        long admitted;
        long bytes;
    }

    private final String traceName;
    private final QuotaTree tree;
    private final QuotaCharge charge = new QuotaCharge();
    private final Map<String, Totals> totals = new TreeMap<>();
    private int lineNumber;
    private double latestMs = Double.NEGATIVE_INFINITY;
    private double firstMs = Double.NaN;

    /**
     * Creates a replay without usage.
     *
     * @param traceName the trace's name, for messages
     * @param seed of the jitter of waits
     */
    public QuotaReplay(String traceName, QuotaSpec quotas, long seed) {
        this.traceName = traceName;
        tree = new QuotaTree(quotas, QuotaTree.MAX_UNNAMED, seed);
    }

    /**
     * Decides on the request of a line.
     *
     * @return the line with whether the request is admitted (0 or 1) and its wait in milliseconds appended; null for a
     *     header or an empty line
     * @throws TraceException if the line is malformed, or earlier than the one before it
     */
    public String line(String line) {
        lineNumber++;
        if (line.isBlank() || (lineNumber == 1 && line.startsWith(HEADER_START))) {
            return null;
        }
        TraceRequest request = parse(line);
        double waitMs = tree.admit(request.timeMs(), request.path(), request.bytes(), request.write(), charge);
        boolean hasRow = totals.size() < MAX_ROWS || totals.containsKey(request.organisation());
        Totals sums = totals.computeIfAbsent(hasRow ? request.organisation() : OTHERS, name -> new Totals());
        sums.requests++;
        if (waitMs == 0) {
            tree.settle(request.timeMs(), charge, request.bytes());
            sums.admitted++;
            sums.bytes += request.bytes();
        }
        return line.strip() + (waitMs == 0 ? ",1,0" : ",0," + (long) Math.ceil(waitMs));
    }

    private TraceRequest parse(String line) {
        String[] columns = line.strip().split(",", -1);
        if (line.length() > MAX_LINE_LENGTH || columns.length != COLUMNS) {
            throw malformed(columns.length + " columns", "write " + HEADER);
        }
        double timeMs = parseTime(columns[TIME]);
        long bytes = parseBytes(columns[BYTES]);
        boolean write = parseWrite(columns[WRITE]);
        return new TraceRequest(timeMs, columns[ORGANISATION], path(columns), bytes, write);
    }

    private double parseTime(String column) {
        double timeMs = parseNumber(column, "a time in milliseconds");
        if (timeMs < latestMs) {
            throw malformed("earlier than the line before it", "sort the trace by time: sort -t, -k1,1g");
        }
        latestMs = timeMs;
        firstMs = Double.isNaN(firstMs) ? timeMs : firstMs;
        return timeMs;
    }

    private long parseBytes(String column) {
        double bytes = parseNumber(column, "a number of bytes");
        if (bytes < 0 || bytes != Math.rint(bytes) || bytes > MAX_BYTES) {
            throw malformed("'" + column + "' where a number of bytes belongs", "write a whole number from 0");
        }
        return (long) bytes;
    }

    private boolean parseWrite(String column) {
        if (!column.equals("0") && !column.equals("1")) {
            throw malformed("'" + column + "' where 0 or 1 belongs", "write 1 for a write, 0 for a read");
        }
        return column.equals("1");
    }

    private double parseNumber(String column, String expected) {
        try {
            double value = Double.parseDouble(column.strip());
            if (Math.abs(value) < MAX_NUMBER) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below, like a number that is out of range
        }
        throw malformed("'" + column + "' where " + expected + " belongs", "write digits, as 1500");
    }

    /** The names of organisation, app and device, down to the last that is not empty. */
    private static String[] path(String[] columns) {
        int levels = LEVELS;
        while (levels > 0 && columns[levels].isEmpty()) {
            levels--;
        }
        return Arrays.copyOfRange(columns, ORGANISATION, ORGANISATION + levels);
    }

    private TraceException malformed(String found, String fix) {
        return new TraceException(traceName + ":" + lineNumber + ": " + found + "; " + fix);
    }

    /** The totals by organisation, as lines of a table with a header. */
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
        totals.forEach((organisation, sums) -> lines.add(String.format(
                Locale.ROOT,
                "%-24s %12d %12d %8.2f%% %12.1f %14.0f",
                organisation,
                sums.requests,
                sums.admitted,
                100.0 * sums.admitted / sums.requests,
                sums.admitted / seconds,
                sums.bytes / seconds)));
        return lines;
    }
}
