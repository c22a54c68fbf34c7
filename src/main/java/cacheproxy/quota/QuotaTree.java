package cacheproxy.quota;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * All quotas of one installation. A request is looked at along its whole path at once, and charged on all of it or on
 * none. No node exceeds its cap in any window, wherever that begins: see {@link SlidingCount}. Used from one thread.
 *
 * <p>What becomes of a charge:
 *
 * <ul>
 *   <li>refused later, or known never to have run: {@link #refund}, as if it had not come;
 *   <li>answered, or it may have run: {@link #settle} with the bytes that it came to;
 *   <li>a resend that is answered from what is kept, or attaches to one under way: not admitted anew, so not charged
 *       twice;
 *   <li>a client's own retry after a refusal: a new request, charged if it is admitted.
 * </ul>
 */
public final class QuotaTree {
    /** Of those that are not named one by one, so many are kept apart; beyond, those idle for longest are forgotten. */
    public static final int MAX_UNNAMED = 2048;
    /** Looked at for one that can be forgotten. */
    private static final int MAX_EVICTION_CANDIDATES = 8;
    /** Refused clients are spread over this part of the wait more, or they would all come back in one moment. */
    private static final double RETRY_JITTER = 0.5;

    private final QuotaNode root;
    private final int maxUnnamed;
    /** Those that have come by {@value QuotaSpec#EACH}, least recently asked for first. */
    private final Map<QuotaNode, QuotaNode> unnamed = new LinkedHashMap<>(16, 0.75f, true);

    private final SplittableRandom random;
    private double latestMs;

    /**
     * A tree with nothing used yet.
     *
     * @throws IllegalArgumentException a tree of no sense, with what is wrong
     */
    public QuotaTree(QuotaSpec spec, int maxUnnamed, long seed) {
        check(spec);
        if (spec.depth() > QuotaSpec.MAX_DEPTH) {
            throw new IllegalArgumentException(
                    "quotas nested " + spec.depth() + " deep; " + QuotaSpec.MAX_DEPTH + " at most");
        }
        this.maxUnnamed = maxUnnamed;
        random = new SplittableRandom(seed);
        root = node(spec.name(), spec, null, false);
    }

    private static void check(QuotaSpec spec) {
        for (Limit limit : spec.limits()) {
            if (spec.name().equals(QuotaSpec.EACH) && limit.guarantee() > 0) {
                throw new IllegalArgumentException(
                        "a guarantee for each that is not named has no bound; name them, or give it to " + QuotaSpec.ANY
                                + ", which all of them share");
            }
            long sum = 0;
            for (QuotaSpec child : spec.children()) {
                for (Limit l : child.limits()) {
                    sum += l.hasSameMeasureAndWindow(limit) ? l.guarantee() : 0;
                }
            }
            if (sum > limit.cap()) {
                throw new IllegalArgumentException("those beneath " + spec.name() + " are guaranteed " + sum + " "
                        + limit.measure() + " in " + limit.windowMs() + " ms, more than its cap of " + limit.cap());
            }
        }
        spec.children().forEach(QuotaTree::check);
    }

    private static QuotaNode node(String name, QuotaSpec spec, QuotaNode parent, boolean unnamed) {
        QuotaNode node = new QuotaNode(name, spec, parent, unnamed);
        spec.children().forEach(c -> node.children.put(c.name(), node(c.name(), c, node, false)));
        if (!node.children.isEmpty() && !node.children.containsKey(QuotaSpec.EACH)) {
            node.children.computeIfAbsent(
                    QuotaSpec.ANY,
                    n -> new QuotaNode(
                            n,
                            new QuotaSpec(
                                    n,
                                    1,
                                    spec.limits().stream()
                                            .map(l -> new Limit(l.measure(), l.windowMs(), 0, l.cap()))
                                            .toList(),
                                    List.of()),
                            node,
                            false));
        }
        return node;
    }

    /**
     * Asks for one request; 0 if it may go on and has been charged, else in how many milliseconds to come back.
     *
     * @param path from the organisation down; names of at most {@value QuotaSpec#MAX_DEPTH} levels, further ones are
     *     not looked at
     * @param bytes how many it is supposed to come to, at least 0
     * @param ticket empty; filled if the request may go on
     */
    public double admit(double nowMs, String[] path, long bytes, boolean write, QuotaCharge ticket) {
        double now = monotonic(nowMs);
        QuotaNode leaf = find(now, path);
        double wait = 0;
        recordRequest(now, leaf, bytes, write);
        for (QuotaNode n = leaf; n != null; n = n.parent) {
            for (Meter m : n.meters) {
                wait = Math.max(wait, m.waitMs(now, m.chargeFor(bytes, write)));
            }
        }
        if (wait > 0) {
            return wait * (1 + RETRY_JITTER * random.nextDouble());
        }
        ticket.leaf = leaf;
        ticket.atMs = now;
        ticket.bytes = bytes;
        ticket.write = write;
        int slot = 0;
        for (QuotaNode n = leaf; n != null; n = n.parent) {
            n.openCharges++;
            for (Meter m : n.meters) {
                ticket.wasGuaranteed(slot++, m.charge(now, m.chargeFor(bytes, write)));
            }
        }
        return 0;
    }

    /** From the top down: what a node has to lend hangs on what it is lent. */
    private static void recordRequest(double now, QuotaNode node, long bytes, boolean write) {
        if (node != null) {
            recordRequest(now, node.parent, bytes, write);
            node.onRequest(now, bytes, write);
            node.lend(now);
        }
    }

    /** It was refused after all, or has certainly not run: nothing of it counts. */
    public void refund(double nowMs, QuotaCharge ticket) {
        end(nowMs, ticket, -1);
    }

    /** It has ended and came to so many bytes; what is over the estimate is owed before anything new is let in. */
    public void settle(double nowMs, QuotaCharge ticket, long bytes) {
        end(nowMs, ticket, Math.max(0, bytes));
    }

    /** {@code bytes} negative: as if it had not come. */
    private void end(double nowMs, QuotaCharge ticket, long bytes) {
        double now = monotonic(nowMs);
        int slot = 0;
        for (QuotaNode n = ticket.leaf; n != null; n = n.parent) {
            n.openCharges--;
            for (Meter m : n.meters) {
                boolean own = ticket.wasGuaranteed(slot++);
                long supposed = m.chargeFor(ticket.bytes, ticket.write);
                if (bytes < 0) {
                    m.refund(now, ticket.atMs, supposed, own);
                } else if (m.limit.measure() == Measure.BYTES) {
                    m.adjust(now, ticket.atMs, supposed, bytes, own);
                }
            }
        }
        ticket.leaf = null;
    }

    /** A clock that steps back stands still until it is where it was. */
    private double monotonic(double nowMs) {
        latestMs = Math.max(latestMs, nowMs);
        return latestMs;
    }

    /**
     * The node that a path leads to; one is made for a name that has not come before. Whoever is not named where others
     * are, or names nobody, gets what these leave, and nothing of their own.
     */
    private QuotaNode find(double now, String[] path) {
        QuotaNode node = root;
        for (int i = 0; i < path.length && i < QuotaSpec.MAX_DEPTH; i++) {
            QuotaNode next = node.children.get(path[i]);
            if (next == null) {
                next = unnamed(now, node, path[i]);
            } else if (next.unnamed) {
                unnamed.get(next); // it is the latest now
            }
            if (next == null) {
                return node;
            }
            node = next;
        }
        QuotaNode rest = node.children.get(QuotaSpec.ANY);
        return rest == null ? node : rest;
    }

    private QuotaNode unnamed(double now, QuotaNode parent, String name) {
        QuotaNode each = parent.children.get(QuotaSpec.EACH);
        if (each == null) {
            return parent.children.get(QuotaSpec.ANY);
        }
        if (unnamed.size() >= maxUnnamed && !evictOne(now)) {
            return each; // they share one, which is stricter than what each is owed, and bounded
        }
        QuotaNode node = node(name, each.spec, parent, true);
        parent.children.put(name, node);
        unnamed.put(node, node);
        return node;
    }

    /** What is owed, or was used within its window, is not forgotten. */
    private boolean evictOne(double now) {
        Iterator<QuotaNode> eldest = unnamed.keySet().iterator();
        for (int i = 0; i < MAX_EVICTION_CANDIDATES && eldest.hasNext(); i++) {
            QuotaNode node = eldest.next();
            if (node.isIdle(now)) {
                eldest.remove();
                node.removeFromParent();
                return true;
            }
        }
        return false;
    }

    /** How many are kept apart of those that are not named. */
    public int unnamed() {
        return unnamed.size();
    }

    /** What the node at this path has used in the window of this quota; 0 if it has no such quota. */
    public long used(double nowMs, String[] path, Measure measure, long windowMs) {
        Meter m = meter(path, measure, windowMs);
        return m == null ? 0 : m.used(monotonic(nowMs));
    }

    /** What it owes. */
    public long debt(String[] path, Measure measure, long windowMs) {
        Meter m = meter(path, measure, windowMs);
        return m == null ? 0 : m.debt();
    }

    private Meter meter(String[] path, Measure measure, long windowMs) {
        QuotaNode node = root;
        for (int i = 0; i < path.length && node != null; i++) {
            node = node.children.get(path[i]);
        }
        return node == null ? null : node.meterLike(new Limit(measure, windowMs, 0, 1));
    }
}
