package cacheproxy.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One organisation, app or device class, with its quotas at work and those beneath it. */
final class QuotaNode {
    /**
     * Shares are dealt out anew so often, by whoever asks next, and less often where many ask: it looks at each of
     * them.
     */
    static final double MIN_LENDING_INTERVAL_MS = 100;

    static final double LENDING_INTERVAL_PER_CHILD_MS = 2;
    static final double MAX_LENDING_INTERVAL_MS = 1000;
    /** Who has not asked for so long has no part in that, and all that is its own is lent. */
    static final double INACTIVE_MS = 5000;
    /** An owner that asks for less than its own is kept so much more of it, for chance. */
    private static final double GUARANTEE_HEADROOM = 1.1;
    /** A borrower is lent somewhat more than it asks for, so that its demand shows. */
    private static final double LENDING_HEADROOM = 1.25;

    final String name;
    final QuotaSpec spec;
    final QuotaNode parent;
    final Meter[] meters;
    final Map<String, QuotaNode> children = new HashMap<>();
    /** Made for a name that came, so it may be forgotten. */
    final boolean unnamed;
    /** Requests that are charged and not settled yet. */
    int openCharges;

    private final List<QuotaNode> active = new ArrayList<>();
    private boolean isActive;
    private double lastRequestMs;
    private double lastLendingMs = Double.NEGATIVE_INFINITY;
    private Meter[] borrowers = new Meter[4];
    private double[] wants = new double[4];
    private double[] weights = new double[4];
    private double[] shares = new double[4];

    QuotaNode(String name, QuotaSpec spec, QuotaNode parent, boolean unnamed) {
        this.name = name;
        this.unnamed = unnamed;
        this.spec = spec;
        this.parent = parent;
        meters = new Meter[spec.limits().size()];
        for (int i = 0; i < meters.length; i++) {
            Limit limit = spec.limits().get(i);
            meters[i] = new Meter(limit, parent != null && parent.meterLike(limit) != null);
        }
    }

    /** Its quota of that measure and window, or null. */
    Meter meterLike(Limit limit) {
        for (Meter m : meters) {
            if (m.limit.hasSameMeasureAndWindow(limit)) {
                return m;
            }
        }
        return null;
    }

    /** A request has come for it, or for one beneath it. */
    void onRequest(double now, long bytes, boolean write) {
        lastRequestMs = Math.max(lastRequestMs, now);
        for (Meter m : meters) {
            m.recordDemand(now, m.chargeFor(bytes, write));
        }
        if (parent != null && !isActive) {
            isActive = true;
            parent.active.add(this);
            parent.lend(now);
            for (Meter m : meters) {
                Meter of = parent.meterLike(m.limit);
                if (of != null) {
                    m.startLending(now, of.idlePerMs());
                }
            }
        }
    }

    /** Deals out what lies idle here, if it is time to. */
    void lend(double now) {
        if (now - lastLendingMs
                < Math.min(
                        MAX_LENDING_INTERVAL_MS,
                        MIN_LENDING_INTERVAL_MS + LENDING_INTERVAL_PER_CHILD_MS * active.size())) {
            return;
        }
        lastLendingMs = now;
        active.removeIf(c -> {
            if (now - c.lastRequestMs <= INACTIVE_MS) {
                return false;
            }
            c.isActive = false;
            for (Meter m : c.meters) {
                m.lend(now, 0);
            }
            return true;
        });
        for (Meter mine : meters) {
            lend(now, mine);
        }
    }

    private void lend(double now, Meter mine) {
        if (wants.length < active.size()) {
            borrowers = new Meter[2 * active.size()];
            wants = new double[2 * active.size()];
            weights = new double[2 * active.size()];
            shares = new double[2 * active.size()];
        }
        double free = mine.ratePerMs();
        int many = 0;
        for (QuotaNode child : active) {
            Meter m = child.meterLike(mine.limit);
            if (m == null) {
                continue;
            }
            double demand = m.demandPerMs(now);
            free -= Math.min(m.guaranteePerMs(), demand * GUARANTEE_HEADROOM);
            wants[many] = Math.max(0, Math.min(m.capPerMs(), demand * LENDING_HEADROOM) - m.guaranteePerMs());
            weights[many] = child.spec.weight();
            borrowers[many++] = m;
        }
        mine.idlePerMs(MaxMinFairShare.share(free, wants, weights, shares, many) / (many + 1));
        for (int i = 0; i < many; i++) {
            borrowers[i].lend(now, shares[i] + mine.idlePerMs());
        }
        Arrays.fill(borrowers, 0, many, null); // one that is forgotten is not kept by this
    }

    boolean isIdle(double now) {
        for (Meter m : meters) {
            if (!m.isIdle(now)) {
                return false;
            }
        }
        if (openCharges > 0) {
            return false;
        }
        for (QuotaNode c : children.values()) {
            if (c.unnamed || !c.isIdle(now)) {
                return false; // one that is not named is forgotten by itself, before what it is under
            }
        }
        return true;
    }

    /** It is no longer one of its parent's. */
    void removeFromParent() {
        parent.children.remove(name, this);
        if (isActive) {
            isActive = false;
            parent.active.remove(this);
        }
    }
}
