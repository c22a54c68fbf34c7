package cacheproxy.emulator;

import java.util.ArrayList;
import java.util.List;

/**
 * Faults that come in numbers, as a large fleet has them: written out as a script's lines would be. Times in
 * milliseconds.
 */
public final class FaultSchedules {
    /** What a process needs to start at all; nothing is repeated faster. */
    public static final double LEAST_MS = 100;
    /** How long one that is killed, or replaced, is away. */
    private static final double AWAY_MS = 1000;
    /** Of all proxies, as on the operators' days. */
    private static final double RELEASE_PART = 0.8;

    private FaultSchedules() {}

    /**
     * A release goes wrong: eight in ten proxies, one at least, are killed in one moment and start together 1 s later.
     */
    public static List<Fault> release(double atMs, int proxies) {
        List<Fault> faults = new ArrayList<>();
        for (int p = 0; p < Math.max(1, Math.round(proxies * RELEASE_PART)); p++) {
            faults.add(new Fault(atMs, "proxy-" + p, Fault.Action.KILL, AWAY_MS, 0));
        }
        return faults;
    }

    /** One node after another dies and comes back empty and cold 1 s later, until a time. */
    public static List<Fault> replacements(double everyMs, double untilMs, int nodes) {
        return inTurn(everyMs, untilMs, nodes, "node-", Fault.Action.RESTART, AWAY_MS);
    }

    /** A new process takes over from one proxy after another, until a time. */
    public static List<Fault> upgrades(double everyMs, double untilMs, int proxies) {
        return inTurn(everyMs, untilMs, proxies, "proxy-", Fault.Action.UPGRADE, 0);
    }

    private static List<Fault> inTurn(
            double everyMs, double untilMs, int many, String name, Fault.Action action, double forMs) {
        double step = Math.max(LEAST_MS, everyMs);
        List<Fault> faults = new ArrayList<>();
        for (int turn = 0; (turn + 1) * step < untilMs && turn < FaultScript.MAX_FAULTS; turn++) {
            faults.add(new Fault((turn + 1) * step, name + turn % many, action, forMs, 0));
        }
        return faults;
    }
}
