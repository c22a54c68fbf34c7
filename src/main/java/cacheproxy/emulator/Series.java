package cacheproxy.emulator;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Per-second counters of each proxy as observed from outside: by clients, the emulated servers and the datagram relay.
 * Confined to the fleet's event loop.
 */
public final class Series {
    /** The number of seconds kept; later events are counted in the last one. */
    static final int MAX_SECONDS = 7200;
    /** A tenth of a second, in milliseconds. */
    public static final double TENTH_MS = 100;

    /** The counters. */
    public enum What {
        /** Client requests, by the second in which they were sent. */
        ASKED,
        /** Requests served within their deadline. */
        SERVED,
        /** Requests served after their deadline. */
        LATE,
        /** Requests rejected as {@code busy}. */
        REFUSED,
        /** Requests answered with a failure. */
        FAILED,
        /** Requests that were never answered. */
        UNANSWERED,
        /** Reads received by cache nodes. */
        ATTEMPTS,
        /** Requests to discovery. */
        CALLS,
        /** Connections opened to nodes and origin. */
        OPENED,
        /** Reads received by the origin. */
        FETCHES,
        /** Writes received by the origin. */
        WRITES,
        /** Datagrams sent to peers. */
        MESSAGES,
        /** Bytes in datagrams sent to peers. */
        BYTES
    }

    /**
     * The counters of one proxy in one second.
     *
     * @param second since the start of the emulated fleet
     * @param proxy its number, negative for connections that no proxy accepted
     * @param counts the counters that are not 0
     * @param attempts reads received by cache nodes, by zone of the node
     */
    public record Row(int second, int proxy, Map<What, Long> counts, long[] attempts) {}

    private static final class Counters {
        final Map<What, Long> counts = new EnumMap<>(What.class);
        final long[] attempts;

        Counters(int zones) {
            attempts = new long[zones];
        }
    }

    private final int proxies;
    private final int zones;
    private final DoubleSupplier nowMs;
    /** Totals over all proxies, by tenths of a second. */
    private final List<long[]> tenths = new ArrayList<>();
    /** By second; each row is indexed by proxy, with a last element for events that no proxy handled. */
    private final List<Counters[]> seconds = new ArrayList<>();

    Series(int proxies, int zones, DoubleSupplier nowMs) {
        this.proxies = proxies;
        this.zones = zones;
        this.nowMs = nowMs;
    }

    private Counters counters(int proxy, double atMs) {
        int second = (int) Math.max(0, Math.min(MAX_SECONDS - 1, atMs / 1000));
        while (seconds.size() <= second) {
            seconds.add(new Counters[proxies + 1]);
        }
        Counters[] row = seconds.get(second);
        int at = proxy < 0 ? proxies : proxy;
        if (row[at] == null) {
            row[at] = new Counters(zones);
        }
        return row[at];
    }

    /** Counts one event now. */
    public void count(int proxy, What what) {
        add(proxy, what, 1, nowMs.getAsDouble());
    }

    /** Adds to a counter at a time in milliseconds since the start. */
    public void add(int proxy, What what, long much, double atMs) {
        counters(proxy, atMs).counts.merge(what, much, Long::sum);
        int tenth = (int) Math.max(0, Math.min(10 * MAX_SECONDS - 1, atMs / TENTH_MS));
        while (tenths.size() <= tenth) {
            tenths.add(new long[What.values().length]);
        }
        tenths.get(tenth)[what.ordinal()] += much;
    }

    /** Totals over all proxies in each tenth of a second since the start, indexed by {@link What#ordinal}. */
    List<long[]> tenths() {
        return tenths.stream().map(long[]::clone).toList();
    }

    /** Counts a read received by a cache node of that zone. */
    void attempt(int proxy, int zone) {
        count(proxy, What.ATTEMPTS);
        counters(proxy, nowMs.getAsDouble()).attempts[zone]++;
    }

    /** All counters by second and proxy. */
    List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        for (int s = 0; s < seconds.size(); s++) {
            for (int p = 0; p <= proxies; p++) {
                Counters c = seconds.get(s)[p];
                if (c != null) {
                    rows.add(new Row(s, p == proxies ? -1 : p, Map.copyOf(c.counts), c.attempts.clone()));
                }
            }
        }
        return rows;
    }
}
