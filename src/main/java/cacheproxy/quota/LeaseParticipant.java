package cacheproxy.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * One instance's part of one cap that holds over all of them. Its own share it has always; what it does not need it
 * cedes to a holder for a time, and the holder grants it to others. Nothing hangs on who is alive, on one holder alone,
 * or on clocks that agree: a cession binds from before it was sent, a grant counts from before it was asked for, and
 * what was granted has left the window before the cession it came from ends.
 */
final class LeaseParticipant {
    /** How long a cession binds beyond the window: some rounds, so that one lost message does not end a grant. */
    static final double TERM_MS = 2000;
    /** Taken off what is usable, for timers that fire late. */
    static final double TIMER_MARGIN_MS = 50;
    /**
     * Of its own share one that starts anew, and may have ceded the rest, keeps this part until that must have ended.
     */
    private static final double RETAINED_PART = 0.5;
    /** The upper half of a round's number tells one life of a holder from another. */
    static final int INCARNATION_SHIFT = 32;
    /** What it is about to need is kept with room for chance. */
    private static final double DEMAND_HEADROOM = 1.25;

    /**
     * An instance's answer to a holder's round.
     *
     * @param round of the holder
     * @param demand how much more than its own share it could use in a window
     * @param ceded how much of that share it does without until the term is over
     */
    record Report(long round, long demand, long ceded) {}

    /** A holder's answer to a report: so much more, for so long from when the report was sent. */
    record Grant(long round, long amount, double usableMs) {}

    /** To one life of a holder: the next one does not know what this has granted. */
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

    /** {@code share}: of the cap, its own; the shares of all together are no more than that. It may have run before. */
    LeaseParticipant(long share, double windowMs, double nowMs) {
        this.share = share;
        this.windowMs = windowMs;
        noUseUntilMs = nowMs + windowMs; // what it used in its life before is still in the window
        fullShareFromMs = nowMs + windowMs + TERM_MS;
    }

    /** How much may have been used in the window that ends now, this instance's requests alone. */
    long limit(double nowMs) {
        if (nowMs < noUseUntilMs) {
            return 0;
        }
        return ownShare(nowMs) + (nowMs < grantedUntilMs ? granted : 0);
    }

    private long ownShare(double nowMs) {
        return nowMs < fullShareFromMs ? (long) (share * RETAINED_PART) : share - ceded(nowMs);
    }

    /** The most that is ceded and has not ended; all of it is to one life of one holder. */
    private long ceded(double nowMs) {
        cessions.removeIf(cession -> cession.untilMs <= nowMs);
        long max = 0;
        for (Cession cession : cessions) {
            max = Math.max(max, cession.amount);
        }
        return max;
    }

    /**
     * A holder has begun a round. Only the one of lowest rank that has been heard of lately is reported to; null: not
     * this.
     *
     * @param demand what is asked of it in a window
     * @param used what it has used in the window that ends now
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
        // Never more than the kept part is left with, so that a restart that forgets it does no harm.
        long cedable =
                nowMs < fullShareFromMs ? 0 : Math.min(share - expectedDemand, share - (long) (share * RETAINED_PART));
        long alreadyCeded = ceded(nowMs);
        long ceded = Math.max(0, Math.min(cedable, alreadyCeded + unused));
        Cession cession = new Cession(from, holderRound >>> INCARNATION_SHIFT, ceded, nowMs + windowMs + TERM_MS);
        if (ceded > 0 && cessions.stream().allMatch(cession::sameHolder)) {
            cessions.add(cession);
        } else {
            ceded = 0; // what another has been ceded counts beside it, so it waits for the end of that
        }
        return new Report(holderRound, Math.max(0, expectedDemand - share), ceded);
    }

    /** A grant has come; one that answers another round than the last report comes too late. */
    void onGrant(double nowMs, int from, Grant grant) {
        if (from == holder && grant.round() == round) {
            granted = grant.amount();
            grantedUntilMs = reportedMs + grant.usableMs();
        }
    }
}
