package cacheproxy.failover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What this instance's own attempts say of each zone, over the last {@link #WINDOW_MS}. One server that is silent is
 * one, however many attempts were at it; a zone is only spoken against by several.
 */
final class ZoneHealthMonitor {
    /** How far back it looks. */
    static final double WINDOW_MS = 2500;

    private static final int SLOTS = 10;
    private static final double SLOT_MS = WINDOW_MS / SLOTS;
    /**
     * So many servers in a row that say nothing, and no other that answers, are a zone that is lost to this instance.
     */
    static final int LOST_SERVERS = 3;
    /** For so long at least: nodes that all stall for a moment are no zone that is lost. */
    private static final double ROW_MS = 300;
    /** So much of what was sent, at as many servers, makes it poor; one bad node of six alone would be more. */
    private static final double POOR_PART = 0.15;

    private static final int POOR_LEAST = 8;
    /** So many answers, and nothing against them, make it good. */
    private static final int GOOD_LEAST = 2;
    /** The origin is tight when so much of what it was asked came late or not at all. */
    private static final double TIGHT_PART = 0.2;

    private static final int TIGHT_LEAST = 5;

    /** What was seen in one part of the window. */
    private static final class Slot {
        long number = -1;
        int answered;
        int missed;
        int overdue;
        final Set<Integer> silent = new HashSet<>();

        void at(long now) {
            if (number != now) {
                number = now;
                answered = 0;
                missed = 0;
                overdue = 0;
                silent.clear();
            }
        }
    }

    /** One zone, or the origin. */
    private static final class Part {
        final Slot[] slots = new Slot[SLOTS];
        /** Those that have said nothing since one of the zone last answered. */
        final Set<Integer> row = new HashSet<>();

        double rowMs;
        double silentMs = Double.NEGATIVE_INFINITY;
        int servers = LOST_SERVERS;

        Part() {
            for (int i = 0; i < SLOTS; i++) {
                slots[i] = new Slot();
            }
        }

        Slot slot(double nowMs) {
            long number = (long) (nowMs / SLOT_MS);
            Slot s = slots[(int) (number % SLOTS)];
            s.at(number);
            return s;
        }

        int[] sum(double nowMs, Set<Integer> silent) {
            long number = (long) (nowMs / SLOT_MS);
            int[] sum = new int[3];
            for (Slot s : slots) {
                if (s.number >= 0 && number - s.number < SLOTS) {
                    sum[0] += s.answered;
                    sum[1] += s.overdue;
                    sum[2] += s.missed;
                    silent.addAll(s.silent);
                }
            }
            return sum;
        }
    }

    private final List<Part> zones = new ArrayList<>();
    private final Part onOriginFetch = new Part();

    /** Has seen nothing of so many zones. */
    ZoneHealthMonitor(int zones) {
        for (int z = 0; z < zones; z++) {
            this.zones.add(new Part());
        }
    }

    /** So many servers of a zone are ready. */
    void setReadyNodes(int zone, int ready) {
        zones.get(zone).servers = Math.max(1, ready);
    }

    /** A server of a zone has answered; {@code hit}: it had what it was asked for. */
    void onResponse(double nowMs, int zone, boolean hit) {
        Part p = zones.get(zone);
        if (lost(p, nowMs)) {
            // It was lost and is not any more: what it does from here on counts, or its silence would speak for a whole
            // window.
            for (Slot old : p.slots) {
                old.number = -1;
            }
        }
        Slot s = p.slot(nowMs);
        s.answered++;
        s.missed += hit ? 0 : 1;
        p.row.clear();
    }

    /** A server of a zone has not answered in time, or ended the connection instead. */
    void onNoResponse(double nowMs, int zone, int server) {
        Part p = zones.get(zone);
        Slot s = p.slot(nowMs);
        s.overdue++;
        if (s.silent.size() < FailoverPlan.MAX_ZONES * LOST_SERVERS) {
            s.silent.add(server);
        }
        if (nowMs - p.silentMs > WINDOW_MS) {
            p.row.clear(); // what is older has not been tried since
        }
        p.silentMs = nowMs;
        p.rowMs = p.row.isEmpty() ? nowMs : p.rowMs;
        if (p.row.size() < LOST_SERVERS) {
            p.row.add(server);
        }
    }

    /** The origin has answered a fetch, in time or not. */
    void onOriginFetch(double nowMs, boolean inTime) {
        Slot s = onOriginFetch.slot(nowMs);
        if (inTime) {
            s.answered++;
        } else {
            s.overdue++;
        }
    }

    /** Whether the origin has no room for more. */
    boolean isOriginSaturated(double nowMs) {
        int[] sum = onOriginFetch.sum(nowMs, new HashSet<>());
        return sum[1] >= TIGHT_LEAST && sum[1] > TIGHT_PART * (sum[0] + sum[1]);
    }

    private static int several(Part p) {
        return Math.min(LOST_SERVERS, p.servers);
    }

    private static boolean lost(Part p, double nowMs) {
        return p.row.size() >= several(p) && nowMs - p.rowMs >= ROW_MS && nowMs - p.silentMs <= WINDOW_MS;
    }

    /** What is seen of a zone now. */
    ZoneHealth health(double nowMs, int zone) {
        Part p = zones.get(zone);
        if (lost(p, nowMs)) {
            return ZoneHealth.UNREACHABLE;
        }
        int several = several(p);
        Set<Integer> silent = new HashSet<>();
        int[] sum = p.sum(nowMs, silent);
        int all = sum[0] + sum[1];
        if (all >= POOR_LEAST && sum[1] >= POOR_PART * all && silent.size() >= several) {
            return ZoneHealth.DEGRADED;
        }
        return sum[0] >= GOOD_LEAST && sum[1] < POOR_PART * all ? ZoneHealth.HEALTHY : ZoneHealth.UNKNOWN;
    }

    /** Whether its nodes answer and lack most of what they are asked for: they have lost what they held. */
    boolean isCold(double nowMs, int zone) {
        int[] sum = zones.get(zone).sum(nowMs, new HashSet<>());
        return sum[0] >= GOOD_LEAST && 2 * sum[2] >= sum[0];
    }

    /** Attempts that ended lately at a zone, a second. */
    double attemptsPerSecond(double nowMs, int zone) {
        int[] sum = zones.get(zone).sum(nowMs, new HashSet<>());
        return (sum[0] + sum[1]) * 1000 / WINDOW_MS;
    }
}
