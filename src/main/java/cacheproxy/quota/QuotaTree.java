package cacheproxy.quota;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * All quotas of one installation. A request is checked along its whole path at once, and charged on all of it or on
 * none. No node exceeds its cap in any window, wherever that begins: see {@link SlidingCount}. Times in milliseconds of
 * one clock; while it steps back, time counts as standing still. Not thread-safe.
 *
 * <p>How a charge ends:
 *
 * <ul>
 *   <li>rejected later, or known never to have run: {@link #refund}, as if the request had not come;
 *   <li>answered, or it may have run: {@link #settle} with the bytes that it came to;
 *   <li>a repeat that is answered from the cache of answers, or attaches to a pending request: not admitted again, so
 *       not charged twice;
 *   <li>a client's own retry after a rejection: a new request, charged if it is admitted.
 * </ul>
 */
public final class QuotaTree {
    /** The most unnamed owners with a node of their own; beyond it, the least recently used ones are evicted. */
    public static final int MAX_UNNAMED = 2048;
    /** The most nodes that are checked to find one that can be evicted. */
    private static final int MAX_EVICTION_CANDIDATES = 8;
    /**
     * The most jitter, as a fraction of the wait, that is added to it so that rejected clients don't all retry at once.
     */
    private static final double RETRY_JITTER = 0.5;

    private final QuotaNode root;
    private final int maxUnnamed;
    /** Nodes of unnamed owners, the least recently used first. */
    private final Map<QuotaNode, QuotaNode> unnamed = new LinkedHashMap<>(16, 0.75f, true);

    private final SplittableRandom random;
    private double latestMs;

    /**
     * Creates a tree without usage.
     *
     * @param maxUnnamed unnamed owners with a node of their own
     * @param seed of the jitter of waits
     * @throws InvalidQuotaException if it is nested too deep, guarantees more than a cap, or guarantees something to
     *     {@value QuotaSpec#EACH}
     */
    public QuotaTree(QuotaSpec spec, int maxUnnamed, long seed) {
        check(spec);
        if (spec.depth() > QuotaSpec.MAX_DEPTH) {
            throw new InvalidQuotaException(
                    "quotas nested " + spec.depth() + " deep; " + QuotaSpec.MAX_DEPTH + " at most");
        }
        this.maxUnnamed = maxUnnamed;
        random = new SplittableRandom(seed);
        root = create(spec.name(), spec, null, false);
    }

    private static void check(QuotaSpec spec) {
        for (Limit limit : spec.limits()) {
            check(spec, limit);
        }
        spec.children().forEach(QuotaTree::check);
    }

    private static void check(QuotaSpec spec, Limit limit) {
        if (spec.name().equals(QuotaSpec.EACH) && limit.guarantee() > 0) {
            throw new InvalidQuotaException(
                    "a guarantee for each that is not named has no bound; name them, or give it to " + QuotaSpec.ANY
                            + ", which all of them share");
        }
        long guaranteed = 0;
        for (QuotaSpec child : spec.children()) {
            for (Limit ofChild : child.limits()) {
                guaranteed += ofChild.hasSameMeasureAndWindow(limit) ? ofChild.guarantee() : 0;
            }
        }
        if (guaranteed > limit.cap()) {
            throw new InvalidQuotaException("those beneath " + spec.name() + " are guaranteed " + guaranteed + " "
                    + limit.measure().label() + " in " + limit.windowMs() + " ms, more than its cap of "
                    + limit.cap());
        }
    }

    private static QuotaNode create(String name, QuotaSpec spec, QuotaNode parent, boolean unnamed) {
        QuotaNode node = new QuotaNode(name, spec, parent, unnamed);
        spec.children().forEach(child -> node.children.put(child.name(), create(child.name(), child, node, false)));
        if (!node.children.isEmpty() && !node.children.containsKey(QuotaSpec.EACH)) {
            node.children.computeIfAbsent(
                    QuotaSpec.ANY, any -> new QuotaNode(any, withoutGuarantees(any, spec.limits()), node, false));
        }
        return node;
    }

    private static QuotaSpec withoutGuarantees(String name, List<Limit> limits) {
        List<Limit> capsAlone = limits.stream()
                .map(limit -> new Limit(limit.measure(), limit.windowMs(), 0, limit.cap()))
                .toList();
        return new QuotaSpec(name, 1, capsAlone, List.of());
    }

    // ---- requests

    /**
     * Admits and charges a request, or returns how long its client should wait before a retry.
     *
     * @param path names from the organisation down; those beyond {@value QuotaSpec#MAX_DEPTH} levels are ignored
     * @param bytes an estimate of its size, at least 0
     * @param charge empty; filled if the request is admitted
     * @return 0 if it is admitted, else how long to wait, in milliseconds
     */
    public double admit(double nowMs, String[] path, long bytes, boolean write, QuotaCharge charge) {
        double now = monotonic(nowMs);
        QuotaNode leaf = find(now, path);
        recordRequest(now, leaf, bytes, write);
        double waitMs = 0;
        for (QuotaNode node = leaf; node != null; node = node.parent) {
            for (Meter meter : node.meters) {
                waitMs = Math.max(waitMs, meter.waitMs(now, meter.chargeFor(bytes, write)));
            }
        }
        if (waitMs > 0) {
            return waitMs * (1 + RETRY_JITTER * random.nextDouble());
        }
        charge.leaf = leaf;
        charge.chargedMs = now;
        charge.bytes = bytes;
        charge.write = write;
        int index = 0;
        for (QuotaNode node = leaf; node != null; node = node.parent) {
            node.openCharges++;
            for (Meter meter : node.meters) {
                charge.setGuaranteed(index++, meter.charge(now, meter.chargeFor(bytes, write)));
            }
        }
        return 0;
    }

    /** From the root down: what a node can lend depends on what it is lent. */
    private static void recordRequest(double nowMs, QuotaNode node, long bytes, boolean write) {
        if (node != null) {
            recordRequest(nowMs, node.parent, bytes, write);
            node.onRequest(nowMs, bytes, write);
            node.lend(nowMs);
        }
    }

    /** Refunds the whole charge of a request that was rejected later, or has certainly not run. */
    public void refund(double nowMs, QuotaCharge charge) {
        double now = monotonic(nowMs);
        int index = 0;
        for (QuotaNode node = charge.leaf; node != null; node = node.parent) {
            node.openCharges--;
            for (Meter meter : node.meters) {
                long charged = meter.chargeFor(charge.bytes, charge.write);
                meter.refund(now, charge.chargedMs, charged, charge.isGuaranteed(index++));
            }
        }
        charge.leaf = null;
    }

    /**
     * Settles a request that has ended, by its actual bytes; what exceeds the estimate is paid before any new charge.
     */
    public void settle(double nowMs, QuotaCharge charge, long bytes) {
        double now = monotonic(nowMs);
        long actual = Math.max(0, bytes);
        int index = 0;
        for (QuotaNode node = charge.leaf; node != null; node = node.parent) {
            node.openCharges--;
            for (Meter meter : node.meters) {
                boolean guaranteed = charge.isGuaranteed(index++);
                if (meter.limit().measure() == Measure.BYTES) {
                    long charged = meter.chargeFor(charge.bytes, charge.write);
                    meter.adjust(now, charge.chargedMs, charged, actual, guaranteed);
                }
            }
        }
        charge.leaf = null;
    }

    private double monotonic(double nowMs) {
        latestMs = Math.max(latestMs, nowMs);
        return latestMs;
    }

    // ---- nodes

    /**
     * The node of a path, created for an unnamed owner if need be. Owners that are neither named nor have a node of
     * their own share what the named ones leave.
     */
    private QuotaNode find(double nowMs, String[] path) {
        QuotaNode node = root;
        for (int i = 0; i < path.length && i < QuotaSpec.MAX_DEPTH; i++) {
            QuotaNode next = node.children.get(path[i]);
            if (next == null) {
                next = findUnnamed(nowMs, node, path[i]);
            } else if (next.unnamed) {
                unnamed.get(next); // marks it as the most recently used
            }
            if (next == null) {
                return node;
            }
            node = next;
        }
        QuotaNode any = node.children.get(QuotaSpec.ANY);
        return any == null ? node : any;
    }

    private QuotaNode findUnnamed(double nowMs, QuotaNode parent, String name) {
        QuotaNode each = parent.children.get(QuotaSpec.EACH);
        if (each == null) {
            return parent.children.get(QuotaSpec.ANY);
        }
        if (unnamed.size() >= maxUnnamed && !evictOne(nowMs)) {
            return each; // shared by all beyond the bound, which is stricter than a node each
        }
        QuotaNode node = create(name, each.spec, parent, true);
        parent.children.put(name, node);
        unnamed.put(node, node);
        return node;
    }

    /** Evicts a node of an unnamed owner that has neither use nor debt; whether one was found. */
    private boolean evictOne(double nowMs) {
        Iterator<QuotaNode> leastRecentFirst = unnamed.keySet().iterator();
        for (int i = 0; i < MAX_EVICTION_CANDIDATES && leastRecentFirst.hasNext(); i++) {
            QuotaNode node = leastRecentFirst.next();
            if (node.isIdle(nowMs)) {
                leastRecentFirst.remove();
                node.removeFromParent();
                return true;
            }
        }
        return false;
    }

    // ---- status

    /** The number of unnamed owners with a node of their own. */
    public int unnamed() {
        return unnamed.size();
    }

    /** The use of the node at this path in the window of this quota; 0 if it has no such quota. */
    public long used(double nowMs, String[] path, Measure measure, long windowMs) {
        Meter meter = meter(path, measure, windowMs);
        return meter == null ? 0 : meter.used(monotonic(nowMs));
    }

    /** The debt of the node at this path; 0 if it has no such quota. */
    public long debt(String[] path, Measure measure, long windowMs) {
        Meter meter = meter(path, measure, windowMs);
        return meter == null ? 0 : meter.debt();
    }

    private Meter meter(String[] path, Measure measure, long windowMs) {
        QuotaNode node = root;
        for (int i = 0; i < path.length && node != null; i++) {
            node = node.children.get(path[i]);
        }
        return node == null ? null : node.meterLike(new Limit(measure, windowMs, 0, 1));
    }
}
