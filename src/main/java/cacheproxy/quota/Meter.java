package cacheproxy.quota;

/**
 * One quota of one node at work. What is its own it may use in any order within the window; what is lent to it comes at
 * a pace, and is counted apart: so an owner that comes back finds its rate free within moments, also where the window
 * is an hour long, and a borrower has not used up what is its own.
 */
final class Meter {
    /** Demand is what was asked for in about this time. */
    static final double DEMAND_MS = 500;
    /** What is lent may be saved up for so long, which is no longer than the shortest window. */
    static final double SAVED_MS = Limit.SHORTEST_MS;

    final Limit limit;
    /** Whether siblings share the parent's; else only the cap counts. */
    final boolean shares;

    private final SlidingCount all;
    private final SlidingCount own;
    private double asked;
    private double askedAt;
    private double lentPerMs;
    private double sparePerMs;
    private double credit;
    private double creditAt;
    private long debt;
    private double paidAt;

    Meter(Limit limit, boolean shares) {
        this.limit = limit;
        this.shares = shares;
        all = new SlidingCount(limit.windowMs());
        own = shares ? new SlidingCount(limit.windowMs()) : null;
    }

    /** One request counts for no more than the whole cap, or it would never be let in; the rest is settled as debt. */
    long charge(long bytes, boolean write) {
        return Math.min(limit.cap(), limit.measure().of(bytes, write));
    }

    void asked(double now, long much) {
        asked = asked * left(now - askedAt) + much;
        askedAt = Math.max(askedAt, now);
    }

    private static double left(double ms) {
        return Math.exp(-Math.max(0, ms) / DEMAND_MS);
    }

    /** What is asked for, in units a millisecond. */
    double demand(double now) {
        return asked * left(now - askedAt) / DEMAND_MS;
    }

    double guaranteePerMs() {
        return (double) limit.guarantee() / limit.windowMs();
    }

    double capPerMs() {
        return (double) limit.cap() / limit.windowMs();
    }

    /** The rate that it has to give to those beneath it. */
    double ratePerMs() {
        return shares ? Math.min(capPerMs(), guaranteePerMs() + lentPerMs) : capPerMs();
    }

    /** What lay idle when shares were last dealt out beneath it, for each that asked and one more. */
    double spare() {
        return sparePerMs;
    }

    void spare(double perMs) {
        sparePerMs = perMs;
    }

    /**
     * It has begun to ask: what is spare is lent to it as if it had been for a while, or its first request would wait.
     */
    void begin(double now, double perMs) {
        lend(now, perMs);
        credit = lentPerMs * SAVED_MS;
    }

    /** From now on it is lent so much a millisecond, and never more than leads to its cap. */
    void lend(double now, double perMs) {
        refill(now, 0);
        lentPerMs = Math.min(perMs, capPerMs() - guaranteePerMs());
    }

    private void refill(double now, long wanted) {
        double most = lentPerMs * SAVED_MS + (lentPerMs > 0 ? wanted : 0);
        credit = Math.min(most, credit + lentPerMs * Math.max(0, now - creditAt));
        creditAt = Math.max(creditAt, now);
    }

    /** 0 if so much may be charged now, else how long until it may, as far as can be told. */
    double wait(double now, long much) {
        if (much == 0) {
            return 0;
        }
        pay(now);
        double cap = all.roomInMs(now, Math.min(limit.cap(), much + debt), limit.cap());
        if (debt > 0) {
            return Math.max(1, cap + (debt - 1) / limit.cap() * limit.windowMs());
        }
        if (cap > 0) {
            return Math.max(1, cap);
        }
        if (!shares || isOwn(now, much)) {
            return 0;
        }
        refill(now, much);
        if (credit >= much) {
            return 0;
        }
        double lent = lentPerMs > 0 ? (much - credit) / lentPerMs : limit.windowMs();
        double mine = much <= limit.guarantee() ? own.roomInMs(now, much, limit.guarantee()) : limit.windowMs();
        return Math.max(1, Math.min(lent, mine));
    }

    private boolean isOwn(double now, long much) {
        return own.sum(now) + much <= limit.guarantee();
    }

    /** Charges what {@link #wait} has let in; whether it was its own. */
    boolean take(double now, long much) {
        all.add(now, much);
        if (!shares) {
            return true;
        }
        if (isOwn(now, much)) {
            own.add(now, much);
            return true;
        }
        credit -= much;
        return false;
    }

    /** As if it had not been charged. */
    void payBack(double now, double at, long much, boolean wasOwn) {
        all.takeBack(now, at, much);
        if (shares && wasOwn) {
            own.takeBack(now, at, much);
        } else if (shares) {
            credit += much;
            refill(now, much);
        }
    }

    /** It was so much and not what had been supposed: less is given back, more is charged now or owed. */
    void settle(double now, double at, long supposed, long actual, boolean wasOwn) {
        if (actual <= supposed) {
            payBack(now, at, supposed - actual, wasOwn);
        } else {
            pay(now);
            if (debt == 0) {
                paidAt = now;
            }
            debt += actual - supposed;
            pay(now);
        }
    }

    /**
     * What is owed comes first, as the window makes room for it. While something is owed the window is full, so of
     * several that have passed unasked each has paid for as much as it holds, the last of them as the room that is
     * there now.
     */
    private void pay(double now) {
        if (debt == 0) {
            return;
        }
        long passed = Math.max(0, (long) ((now - paidAt) / all.lengthMs()) - 1);
        debt = passed > debt / limit.cap() ? 0 : debt - passed * limit.cap();
        long part = Math.min(debt, limit.cap() - all.sum(now));
        if (part > 0) {
            all.add(now, part);
            if (shares) {
                own.add(now, part);
            }
            debt -= part;
            paidAt = now;
        }
    }

    long debt() {
        return debt;
    }

    /** What was charged in the window that ends now. */
    long used(double now) {
        return all.sum(now);
    }

    /** Whether nothing is lost by forgetting it. */
    boolean forgettable(double now) {
        return debt == 0 && all.sum(now) == 0;
    }
}
