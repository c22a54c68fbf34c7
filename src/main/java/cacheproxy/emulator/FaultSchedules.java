package cacheproxy.emulator;

import java.util.ArrayList;
import java.util.List;

/**
 * Generates the repeated faults that are typical of a large fleet, in the form that a fault script yields. Times in
 * milliseconds.
 */
public final class FaultSchedules {
    /** The minimum interval between faults: the time that a process needs to start. */
    public static final double MIN_INTERVAL_MS = 100;
    /** The downtime of a killed or replaced process. */
    private static final double DOWNTIME_MS = 1000;
    /** The share of all proxies that fail in a bad release, as the operators have seen it. */
    private static final double RELEASE_FAILURE_SHARE = 0.8;

    private FaultSchedules() {}

    /**
     * A failed release: 80% of the proxies, at least one, are killed at the same time and restart together 1 s later.
     */
    public static List<Fault> release(double atMs, int proxies) {
        List<Fault> faults = new ArrayList<>();
        for (int p = 0; p < Math.max(1, Math.round(proxies * RELEASE_FAILURE_SHARE)); p++) {
            faults.add(new Fault(atMs, "proxy-" + p, Fault.Action.KILL, DOWNTIME_MS, 0));
        }
        return faults;
    }

    /** Until {@code untilMs}, nodes in turn die and restart 1 s later with an empty cache and at cold capacity. */
    public static List<Fault> replacements(double everyMs, double untilMs, int nodes) {
        return roundRobin(everyMs, untilMs, nodes, "node-", Fault.Action.RESTART, DOWNTIME_MS);
    }

    /** Until {@code untilMs}, a new process takes over from each proxy in turn. */
    public static List<Fault> upgrades(double everyMs, double untilMs, int proxies) {
        return roundRobin(everyMs, untilMs, proxies, "proxy-", Fault.Action.UPGRADE, 0);
    }

    private static List<Fault> roundRobin(
            double everyMs, double untilMs, int count, String name, Fault.Action action, double forMs) {
        double step = Math.max(MIN_INTERVAL_MS, everyMs);
        List<Fault> faults = new ArrayList<>();
        for (int turn = 0; (turn + 1) * step < untilMs && turn < FaultScript.MAX_FAULTS; turn++) {
            faults.add(new Fault((turn + 1) * step, name + turn % count, action, forMs, 0));
        }
        return faults;
    }
}
