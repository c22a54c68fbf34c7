package cacheproxy.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An organisation, app or device class: its quotas, and the nodes below it, to which it lends the idle part of its
 * rate. Times in milliseconds. Not thread-safe.
 */
final class QuotaNode {
    /**
     * The least time between two rounds of lending, to which {@link #LENDING_INTERVAL_PER_CHILD_MS} is added for each
     * active child, as a round looks at each of them.
     */
    static final double MIN_LENDING_INTERVAL_MS = 100;

    static final double LENDING_INTERVAL_PER_CHILD_MS = 2;
    static final double MAX_LENDING_INTERVAL_MS = 1000;
    /** A child without a request for so long is inactive: nothing is lent to it, and all of its guarantee is lent. */
    static final double INACTIVE_MS = 5000;
    /** An owner keeps this multiple of its demand from its guarantee, for random variation. */
    private static final double GUARANTEE_HEADROOM = 1.1;
    /** A borrower is lent up to this multiple of its demand, so that growing demand can be measured. */
    private static final double LENDING_HEADROOM = 1.25;

    private static final int INITIAL_CAPACITY = 4;

    final String name;
    final QuotaSpec spec;
    final QuotaNode parent;
    final Meter[] meters;
    final Map<String, QuotaNode> children = new HashMap<>();
    /** Whether it was created for a name that the configuration does not have, and may be evicted. */
    final boolean unnamed;
    /** Charges that are neither refunded nor settled yet. */
    int openCharges;

    private final List<QuotaNode> activeChildren = new ArrayList<>();
    private boolean isActive;
    private double lastRequestMs;
    private double lastLendingMs = Double.NEGATIVE_INFINITY;
    // Buffers of one round of lending, reused so that a round allocates nothing.
    private Meter[] borrowers = new Meter[INITIAL_CAPACITY];
    private double[] demands = new double[INITIAL_CAPACITY];
    private double[] weights = new double[INITIAL_CAPACITY];
    private double[] shares = new double[INITIAL_CAPACITY];

    /** A node without children; {@code parent} is null at the root. */
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

    /** Its meter of the same measure and window; null if there is none. */
    Meter meterLike(Limit limit) {
        for (Meter meter : meters) {
            if (meter.limit().hasSameMeasureAndWindow(limit)) {
                return meter;
            }
        }
        return null;
    }

    /** A request has arrived for it, or for a node below it. */
    void onRequest(double nowMs, long bytes, boolean write) {
        lastRequestMs = Math.max(lastRequestMs, nowMs);
        for (Meter meter : meters) {
            meter.recordDemand(nowMs, meter.chargeFor(bytes, write));
        }
        if (parent != null && !isActive) {
            activate(nowMs);
        }
    }

    private void activate(double nowMs) {
        isActive = true;
        parent.activeChildren.add(this);
        parent.lend(nowMs);
        for (Meter meter : meters) {
            Meter lender = parent.meterLike(meter.limit());
            if (lender != null) {
                meter.startBorrowing(nowMs, lender.idlePerMs());
            }
        }
    }

    /** Divides its idle rate among its active children, if the interval is over. */
    void lend(double nowMs) {
        double intervalMs = Math.min(
                MAX_LENDING_INTERVAL_MS,
                MIN_LENDING_INTERVAL_MS + LENDING_INTERVAL_PER_CHILD_MS * activeChildren.size());
        if (nowMs - lastLendingMs < intervalMs) {
            return;
        }
        lastLendingMs = nowMs;
        activeChildren.removeIf(child -> child.deactivateIfQuiet(nowMs));
        for (Meter meter : meters) {
            lend(nowMs, meter);
        }
    }

    private boolean deactivateIfQuiet(double nowMs) {
        if (nowMs - lastRequestMs <= INACTIVE_MS) {
            return false;
        }
        isActive = false;
        for (Meter meter : meters) {
            meter.borrow(nowMs, 0);
        }
        return true;
    }

    private void lend(double nowMs, Meter lender) {
        ensureCapacity(activeChildren.size());
        double available = lender.ratePerMs();
        int count = 0;
        for (QuotaNode child : activeChildren) {
            Meter borrower = child.meterLike(lender.limit());
            if (borrower == null) {
                continue;
            }
            double demand = borrower.demandPerMs(nowMs);
            available -= Math.min(borrower.guaranteePerMs(), demand * GUARANTEE_HEADROOM);
            demands[count] =
                    Math.max(0, Math.min(borrower.capPerMs(), demand * LENDING_HEADROOM) - borrower.guaranteePerMs());
            weights[count] = child.spec.weight();
            borrowers[count++] = borrower;
        }
        lender.setIdlePerMs(MaxMinFairShare.share(available, demands, weights, shares, count) / (count + 1));
        for (int i = 0; i < count; i++) {
            borrowers[i].borrow(nowMs, shares[i] + lender.idlePerMs());
        }
        Arrays.fill(borrowers, 0, count, null); // or it would keep evicted ones from garbage collection
    }

    private void ensureCapacity(int count) {
        if (demands.length < count) {
            borrowers = new Meter[2 * count];
            demands = new double[2 * count];
            weights = new double[2 * count];
            shares = new double[2 * count];
        }
    }

    /** Whether it and the nodes below it have neither use nor debt, so that it may be evicted. */
    boolean isIdle(double nowMs) {
        for (Meter meter : meters) {
            if (!meter.isIdle(nowMs)) {
                return false;
            }
        }
        if (openCharges > 0) {
            return false;
        }
        for (QuotaNode child : children.values()) {
            if (child.unnamed || !child.isIdle(nowMs)) {
                return false; // an unnamed child is evicted by itself, before its parent
            }
        }
        return true;
    }

    /** Removes it from its parent. */
    void removeFromParent() {
        parent.children.remove(name, this);
        if (isActive) {
            isActive = false;
            parent.activeChildren.remove(this);
        }
    }
}
