package cacheproxy.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * One instance's part of one cap that holds over all of them. Its own share it has always; what it does not need it
 * cedes to a holder for a time, and the holder grants it to others. Nothing hangs on who is alive, on one holder alone,
 * or on clocks that agree: a cession binds from before it was sent, a grant counts from before it was asked for, and
 * what was granted has left the window before the cession it came from ends.
 */
final class LeaseParty {
    /** How long a cession binds beyond the window: some rounds, so that one lost message does not end a grant. */
    static final double TERM_MS = 2000;
    /** Taken off what is usable, for timers that fire late. */
    static final double MARGIN_MS = 50;
    /**
     * Of its own share one that starts anew, and may have ceded the rest, keeps this part until that must have ended.
     */
    private static final double KEPT = 0.5;
    /** The upper half of a round's number tells one life of a holder from another. */
    static final int LIFE_BITS = 32;
    /** What it is about to need is kept with room for chance. */
    private static final double NEED = 1.25;

    /**
     * An instance's answer to a holder's round.
     *
     * @param round of the holder
     * @param want how much more than its own share it could use in a window
     * @param ceded how much of that share it does without until the term is over
     */
    record Report(long round, long want, long ceded) {}

    /** A holder's answer to a report: so much more, for so long from when the report was sent. */
    record Grant(long round, long amount, double usableMs) {}

    /** To one life of a holder: the next one does not know what this has granted. */
    private record Cession(int holder, long life, long amount, double untilMs) {
        boolean sameHolder(Cession other) {
            return holder == other.holder && life == other.life;
        }
    }

    private final long share;
    private final double windowMs;
    private final double quietUntilMs;
    private final double wholeFromMs;
    private final List<Cession> cessions = new ArrayList<>();
    private int holder = Integer.MAX_VALUE;
    private double holderHeardMs = Double.NEGATIVE_INFINITY;
    private long round = -1;
    private double reportedMs;
    private long granted;
    private double grantedUntilMs = Double.NEGATIVE_INFINITY;

    /** {@code share}: of the cap, its own; the shares of all together are no more than that. It may have run before. */
    LeaseParty(long share, double windowMs, double now) {
        this.share = share;
        this.windowMs = windowMs;
        quietUntilMs = now + windowMs; // what it used in its life before is still in the window
        wholeFromMs = now + windowMs + TERM_MS;
    }

    /** How much may have been used in the window that ends now, this instance's requests alone. */
    long limit(double now) {
        if (now < quietUntilMs) {
            return 0;
        }
        return own(now) + (now < grantedUntilMs ? granted : 0);
    }

    private long own(double now) {
        return now < wholeFromMs ? (long) (share * KEPT) : share - ceded(now);
    }

    /** The most that is ceded and has not ended; all of it is to one life of one holder. */
    private long ceded(double now) {
        cessions.removeIf(c -> c.untilMs <= now);
        long most = 0;
        for (Cession c : cessions) {
            most = Math.max(most, c.amount);
        }
        return most;
    }

    /**
     * A holder has begun a round. Only the one of lowest rank that has been heard of lately is reported to; null: not
     * this.
     *
     * @param demand what is asked of it in a window
     * @param used what it has used in the window that ends now
     */
    Report collect(double now, int from, long its, long demand, long used) {
        if ((from > holder && now - holderHeardMs < TERM_MS) || (from == holder && its <= round)) {
            return null;
        }
        holder = from;
        holderHeardMs = now;
        round = its;
        reportedMs = now;
        long need = (long) Math.ceil(demand * NEED) + 1;
        long free = Math.max(0, own(now) - used);
        // Never more than the kept part is left with, so that a restart that forgets it does no harm.
        long spare = now < wholeFromMs ? 0 : Math.min(share - need, share - (long) (share * KEPT));
        long already = ceded(now);
        long ceded = Math.max(0, Math.min(spare, already + free));
        Cession cession = new Cession(from, its >>> LIFE_BITS, ceded, now + windowMs + TERM_MS);
        if (ceded > 0 && cessions.stream().allMatch(cession::sameHolder)) {
            cessions.add(cession);
        } else {
            ceded = 0; // what another has been ceded counts beside it, so it waits for the end of that
        }
        return new Report(its, Math.max(0, need - share), ceded);
    }

    /** A grant has come; one that answers another round than the last report comes too late. */
    void granted(double now, int from, Grant grant) {
        if (from == holder && grant.round() == round) {
            granted = grant.amount();
            grantedUntilMs = reportedMs + grant.usableMs();
        }
    }
}
