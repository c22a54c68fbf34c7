package cacheproxy.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * One instance's part of a cap that holds over all instances. It always has its own share; what it does not need it
 * cedes to a lease holder for a term, and the holder grants it to others. Safety depends neither on who is alive, nor
 * on a single holder, nor on synchronised clocks: a cession binds from before it is sent, a grant counts from before it
 * is requested, and what is granted has left the window before the cession that it came from expires. Amounts in units
 * of the quota's measure, times in milliseconds of this instance's clock. Not thread-safe.
 */
final class LeaseParticipant {
    /** How long a cession binds beyond the window: several rounds, so that a lost message does not end a grant. */
    static final double TERM_MS = 2000;
    /** Subtracted from the time that a grant is usable, for timers that fire late. */
    static final double TIMER_MARGIN_MS = 50;
    /**
     * The part of its share that is never ceded. A restarted instance, which does not know what it has ceded, uses no
     * more than this until all its cessions must have expired.
     */
    private static final double RETAINED_PART = 0.5;
    /** The upper half of a round's number is the holder's incarnation. */
    static final int INCARNATION_SHIFT = 32;
    /** An instance keeps this multiple of its demand, for random variation. */
    private static final double DEMAND_HEADROOM = 1.25;

    /**
     * An instance's answer to a holder's round.
     *
     * @param round the holder's number of the round
     * @param demand how much more than its own share it could use in a window
     * @param ceded how much of that share it will not use until the term is over
     */
    record Report(long round, long demand, long ceded) {}

    /**
     * A holder's answer to a report.
     *
     * @param round the holder's number of the round
     * @param amount what the instance may use in a window beyond its own share
     * @param usableMs for how long, from when the report was sent
     */
    record Grant(long round, long amount, double usableMs) {}

    /** Binds towards one incarnation of a holder: the next one does not know what this one has granted. */
    private record Cession(int holder, long incarnation, long amount, double untilMs) {
        boolean sameHolder(Cession other) {
            return holder == other.holder && incarnation == other.incarnation;
        }
    }

    private final long share;
    private final double windowMs;
    private final double noUseUntilMs;
    private final double fullShareFromMs;
    private final List<Cession> cessions = new ArrayList<>();
    private int holder = Integer.MAX_VALUE;
    private double holderContactMs = Double.NEGATIVE_INFINITY;
    private long round = -1;
    private double reportedMs;
    private long granted;
    private double grantedUntilMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates the participant of an instance that may have run before.
     *
     * @param share its own part of the cap; the shares of all instances together do not exceed it
     */
    LeaseParticipant(long share, double windowMs, double nowMs) {
        this.share = share;
        this.windowMs = windowMs;
        noUseUntilMs = nowMs + windowMs; // what an earlier incarnation used is still in the window
        fullShareFromMs = nowMs + windowMs + TERM_MS;
    }

    /** The most that this instance may have used in the window that ends now. */
    long limit(double nowMs) {
        if (nowMs < noUseUntilMs) {
            return 0;
        }
        return ownShare(nowMs) + (nowMs < grantedUntilMs ? granted : 0);
    }

    private long ownShare(double nowMs) {
        return nowMs < fullShareFromMs ? (long) (share * RETAINED_PART) : share - ceded(nowMs);
    }

    /** The most that is ceded and has not expired; all of it is to one incarnation of one holder. */
    private long ceded(double nowMs) {
        cessions.removeIf(cession -> cession.untilMs <= nowMs);
        long max = 0;
        for (Cession cession : cessions) {
            max = Math.max(max, cession.amount);
        }
        return max;
    }

    /**
     * A holder has started a round. Only the lowest-ranked holder that was in contact lately gets a report.
     *
     * @param from the holder's rank
     * @param holderRound the holder's number of the round
     * @param demand what this instance's clients demand in a window
     * @param used what it has used in the window that ends now
     * @return the report to that holder; null: none
     */
    Report onRoundStarted(double nowMs, int from, long holderRound, long demand, long used) {
        if ((from > holder && nowMs - holderContactMs < TERM_MS) || (from == holder && holderRound <= round)) {
            return null;
        }
        holder = from;
        holderContactMs = nowMs;
        round = holderRound;
        reportedMs = nowMs;
        long expectedDemand = (long) Math.ceil(demand * DEMAND_HEADROOM) + 1;
        long unused = Math.max(0, ownShare(nowMs) - used);
        // The retained part is never ceded, so that a restart that forgets its cessions does no harm.
        long cedable =
                nowMs < fullShareFromMs ? 0 : Math.min(share - expectedDemand, share - (long) (share * RETAINED_PART));
        long alreadyCeded = ceded(nowMs);
        long ceded = Math.max(0, Math.min(cedable, alreadyCeded + unused));
        Cession cession = new Cession(from, holderRound >>> INCARNATION_SHIFT, ceded, nowMs + windowMs + TERM_MS);
        if (ceded > 0 && cessions.stream().allMatch(cession::sameHolder)) {
            cessions.add(cession);
        } else {
            ceded = 0; // an unexpired cession to another holder or incarnation would add to this one
        }
        return new Report(holderRound, Math.max(0, expectedDemand - share), ceded);
    }

    /** A grant has arrived; one for another round than that of the last report is ignored. */
    void onGrant(double nowMs, int from, Grant grant) {
        if (from == holder && grant.round() == round) {
            granted = grant.amount();
            grantedUntilMs = reportedMs + grant.usableMs();
        }
    }
}
