package cacheproxy.emulator;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** When the clients of requests left, for a limited time. Times in milliseconds of one clock. */
final class Departures {
    /** How long after its client has left an attempt may begin. */
    private static final double GRACE_MS = 100;
    /** Allowance for the time between the arrival of a command and its report. */
    private static final double REPORT_DELAY_MS = 50;

    /** The earliest first. */
    private final Map<String, Double> leftMs = new LinkedHashMap<>();

    /** A request's client has closed or reset its connection; times must not decrease. */
    void left(String id, double atMs) {
        leftMs.put(id, atMs);
        Iterator<Double> times = leftMs.values().iterator();
        while (atMs - times.next() > Oracle.MEMORY_MS) {
            times.remove();
        }
    }

    /** Whether an attempt that begins at this time begins too late, as its client has left. */
    boolean isTooLate(String id, double atMs) {
        return atMs - leftMs.getOrDefault(id, Double.POSITIVE_INFINITY) > GRACE_MS + REPORT_DELAY_MS;
    }
}
