package cacheproxy.emulator;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * What each proxy did in each second, as those around it saw it: clients, stand-ins and the relay of datagrams. Belongs
 * to the fleet's event loop.
 */
public final class Series {
    /** Later seconds are counted in the last. */
    static final int MOST_SECONDS = 7200;
    /** A tenth of a second, in milliseconds. */
    public static final double TENTH_MS = 100;

    /** What is counted. */
    public enum What {
        /** Requests by clients, in the second in which they were asked. */
        ASKED,
        /** Served within the deadline. */
        SERVED,
        /** Served after it. */
        LATE,
        /** Answered {@code busy}. */
        REFUSED,
        /** Answered as failed. */
        FAILED,
        /** Never answered. */
        UNANSWERED,
        /** Reads at cache nodes. */
        ATTEMPTS,
        /** Calls of discovery. */
        CALLS,
        /** Connections opened to nodes and origin. */
        OPENED,
        /** Reads at the origin. */
        FETCHES,
        /** Writes at the origin. */
        WRITES,
        /** Datagrams sent to peers. */
        MESSAGES,
        /** Bytes in them. */
        BYTES
    }

    /**
     * A second of one proxy.
     *
     * @param second since the stand-ins' start
     * @param proxy its number, negative for what no proxy took
     * @param counts what was seen, without what never was
     * @param attempts reads at cache nodes by the zone of these
     */
    public record Row(int second, int proxy, Map<What, Long> counts, long[] attempts) {}

    private static final class Cell {
        final Map<What, Long> counts = new EnumMap<>(What.class);
        final long[] attempts;

        Cell(int zones) {
            attempts = new long[zones];
        }
    }

    private final int proxies;
    private final int zones;
    private final DoubleSupplier nowMs;
    /** Of all proxies together, by tenths of a second. */
    private final List<long[]> tenths = new ArrayList<>();
    /** By second; in each the proxies in their order, and behind them nobody. */
    private final List<Cell[]> seconds = new ArrayList<>();

    Series(int proxies, int zones, DoubleSupplier nowMs) {
        this.proxies = proxies;
        this.zones = zones;
        this.nowMs = nowMs;
    }

    private Cell cell(int proxy, double atMs) {
        int second = (int) Math.max(0, Math.min(MOST_SECONDS - 1, atMs / 1000));
        while (seconds.size() <= second) {
            seconds.add(new Cell[proxies + 1]);
        }
        Cell[] row = seconds.get(second);
        int at = proxy < 0 ? proxies : proxy;
        if (row[at] == null) {
            row[at] = new Cell(zones);
        }
        return row[at];
    }

    /** Something has happened just now. */
    public void count(int proxy, What what) {
        add(proxy, what, 1, nowMs.getAsDouble());
    }

    /** So much has happened at that time, in milliseconds since the start. */
    public void add(int proxy, What what, long much, double atMs) {
        cell(proxy, atMs).counts.merge(what, much, Long::sum);
        int tenth = (int) Math.max(0, Math.min(10 * MOST_SECONDS - 1, atMs / TENTH_MS));
        while (tenths.size() <= tenth) {
            tenths.add(new long[What.values().length]);
        }
        tenths.get(tenth)[what.ordinal()] += much;
    }

    /** What all proxies did together in each tenth of a second since the start; in each by {@link What#ordinal}. */
    List<long[]> tenths() {
        return tenths.stream().map(long[]::clone).toList();
    }

    /** A read has come to a cache node of that zone. */
    void attempt(int proxy, int zone) {
        count(proxy, What.ATTEMPTS);
        cell(proxy, nowMs.getAsDouble()).attempts[zone]++;
    }

    /** All that was seen, by second and proxy. */
    List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        for (int s = 0; s < seconds.size(); s++) {
            for (int p = 0; p <= proxies; p++) {
                Cell c = seconds.get(s)[p];
                if (c != null) {
                    rows.add(new Row(s, p == proxies ? -1 : p, Map.copyOf(c.counts), c.attempts.clone()));
                }
            }
        }
        return rows;
    }
}
