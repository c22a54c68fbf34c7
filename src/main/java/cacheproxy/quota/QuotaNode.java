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
    static final double DEAL_MS = 100;

    static final double DEAL_MS_EACH = 2;
    static final double LONGEST_DEAL_MS = 1000;
    /** Who has not asked for so long has no part in that, and all that is its own is lent. */
    static final double QUIET_MS = 5000;
    /** An owner that asks for less than its own is kept so much more of it, for chance. */
    private static final double MARGIN = 1.1;
    /** A borrower is lent somewhat more than it asks for, so that its demand shows. */
    private static final double REACH = 1.25;

    final String name;
    final QuotaSpec spec;
    final QuotaNode parent;
    final Meter[] meters;
    final Map<String, QuotaNode> children = new HashMap<>();
    /** Made for a name that came, so it may be forgotten. */
    final boolean unnamed;
    /** Requests that are charged and not settled yet. */
    int open;

    private final List<QuotaNode> asking = new ArrayList<>();
    private boolean isAsking;
    private double askedAt;
    private double dealtAt = Double.NEGATIVE_INFINITY;
    private Meter[] sharing = new Meter[4];
    private double[] wants = new double[4];
    private double[] weights = new double[4];
    private double[] given = new double[4];

    QuotaNode(String name, QuotaSpec spec, QuotaNode parent, boolean unnamed) {
        this.name = name;
        this.unnamed = unnamed;
        this.spec = spec;
        this.parent = parent;
        meters = new Meter[spec.limits().size()];
        for (int i = 0; i < meters.length; i++) {
            Limit limit = spec.limits().get(i);
            meters[i] = new Meter(limit, parent != null && parent.like(limit) != null);
        }
    }

    /** Its quota of that measure and window, or null. */
    Meter like(Limit limit) {
        for (Meter m : meters) {
            if (m.limit.comparesTo(limit)) {
                return m;
            }
        }
        return null;
    }

    /** A request has come for it, or for one beneath it. */
    void asked(double now, long bytes, boolean write) {
        askedAt = Math.max(askedAt, now);
        for (Meter m : meters) {
            m.asked(now, m.charge(bytes, write));
        }
        if (parent != null && !isAsking) {
            isAsking = true;
            parent.asking.add(this);
            parent.deal(now);
            for (Meter m : meters) {
                Meter of = parent.like(m.limit);
                if (of != null) {
                    m.begin(now, of.spare());
                }
            }
        }
    }

    /** Deals out what lies idle here, if it is time to. */
    void deal(double now) {
        if (now - dealtAt < Math.min(LONGEST_DEAL_MS, DEAL_MS + DEAL_MS_EACH * asking.size())) {
            return;
        }
        dealtAt = now;
        asking.removeIf(c -> {
            if (now - c.askedAt <= QUIET_MS) {
                return false;
            }
            c.isAsking = false;
            for (Meter m : c.meters) {
                m.lend(now, 0);
            }
            return true;
        });
        for (Meter mine : meters) {
            deal(now, mine);
        }
    }

    private void deal(double now, Meter mine) {
        if (wants.length < asking.size()) {
            sharing = new Meter[2 * asking.size()];
            wants = new double[2 * asking.size()];
            weights = new double[2 * asking.size()];
            given = new double[2 * asking.size()];
        }
        double free = mine.ratePerMs();
        int many = 0;
        for (QuotaNode child : asking) {
            Meter m = child.like(mine.limit);
            if (m == null) {
                continue;
            }
            double demand = m.demand(now);
            free -= Math.min(m.guaranteePerMs(), demand * MARGIN);
            wants[many] = Math.max(0, Math.min(m.capPerMs(), demand * REACH) - m.guaranteePerMs());
            weights[many] = child.spec.weight();
            sharing[many++] = m;
        }
        mine.spare(Lending.share(free, wants, weights, given, many) / (many + 1));
        for (int i = 0; i < many; i++) {
            sharing[i].lend(now, given[i] + mine.spare());
        }
        Arrays.fill(sharing, 0, many, null); // one that is forgotten is not kept by this
    }

    boolean forgettable(double now) {
        for (Meter m : meters) {
            if (!m.forgettable(now)) {
                return false;
            }
        }
        if (open > 0) {
            return false;
        }
        for (QuotaNode c : children.values()) {
            if (c.unnamed || !c.forgettable(now)) {
                return false; // one that is not named is forgotten by itself, before what it is under
            }
        }
        return true;
    }

    /** It is no longer one of its parent's. */
    void leave() {
        parent.children.remove(name, this);
        if (isAsking) {
            isAsking = false;
            parent.asking.remove(this);
        }
    }
}
