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
    private static final int LONGEST_LINE = 4096;
    /** Organisations that are told of one by one; further ones are added up. */
    private static final int SHOWN = 50;

    /** A line that can't be read, with its number and the likely fix. */
    public static final class TraceException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        TraceException(String message) {
            super(message);
        }
    }

    /** What came of one organisation's requests. */
    private static final class Sum {
        long asked;
        long admitted;
        long bytes;
    }

    private final String name;
    private final QuotaTree tree;
    private final Ticket ticket = new Ticket();
    private final Map<String, Sum> sums = new TreeMap<>();
    private int number;
    private double latest = Double.NEGATIVE_INFINITY;
    private double first = Double.NaN;

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
        number++;
        if (line.isBlank() || (number == 1 && line.startsWith("time_ms"))) {
            return null;
        }
        String[] words = line.strip().split(",", -1);
        if (line.length() > LONGEST_LINE || words.length != COLUMNS) {
            throw wrong(words.length + " columns", "write " + HEADER);
        }
        double at = number(words[0], "a time in milliseconds");
        if (at < latest) {
            throw wrong("earlier than the line before it", "sort the trace by time: sort -t, -k1,1g");
        }
        latest = at;
        first = Double.isNaN(first) ? at : first;
        double bytes = number(words[4], "a number of bytes");
        if (bytes < 0 || bytes != Math.rint(bytes) || bytes > 1e15) {
            throw wrong("'" + words[4] + "' where a number of bytes belongs", "write a whole number from 0");
        }
        if (!words[5].equals("0") && !words[5].equals("1")) {
            throw wrong("'" + words[5] + "' where 0 or 1 belongs", "write 1 for a write, 0 for a read");
        }
        double wait = tree.admit(at, path(words), (long) bytes, words[5].equals("1"), ticket);
        boolean shown = sums.size() < SHOWN || sums.containsKey(words[1]);
        Sum sum = sums.computeIfAbsent(shown ? words[1] : "others", k -> new Sum());
        sum.asked++;
        if (wait == 0) {
            tree.settle(at, ticket, (long) bytes);
            sum.admitted++;
            sum.bytes += (long) bytes;
        }
        return line.strip() + (wait == 0 ? ",1,0" : ",0," + (long) Math.ceil(wait));
    }

    /** Down to the last level that is named. */
    private static String[] path(String[] words) {
        int levels = 3;
        while (levels > 0 && words[levels].isEmpty()) {
            levels--;
        }
        return Arrays.copyOfRange(words, 1, 1 + levels);
    }

    private double number(String word, String what) {
        try {
            double value = Double.parseDouble(word.strip());
            if (Math.abs(value) < 1e16) {
                return value;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw wrong("'" + word + "' where " + what + " belongs", "write digits, as 1500");
    }

    private TraceException wrong(String what, String fix) {
        return new TraceException(name + ":" + number + ": " + what + "; " + fix);
    }

    /** What came of it, by organisation. */
    public List<String> table() {
        List<String> lines = new ArrayList<>();
        double seconds = Math.max(0.001, (latest - first) / 1000);
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
                s.asked,
                s.admitted,
                100.0 * s.admitted / s.asked,
                s.admitted / seconds,
                s.bytes / seconds)));
        return lines;
    }
}
