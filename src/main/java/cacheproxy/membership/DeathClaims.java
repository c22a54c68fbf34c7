package cacheproxy.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Deaths that others claim of members of which no suspicion was known here. Such a claim comes from beyond a partition,
 * or late; it is believed after a delay in which the member may refute it. Otherwise, when a partition heals, each side
 * would declare its own neighbours dead for a moment.
 */
final class DeathClaims {
    /** The time that a member has to refute a claim. */
    private static final double REFUTATION_TIMEOUT_MS = 800;

    private record Claim(Member reported, double dueMs) {}

    private final Map<Integer, Claim> claims = new LinkedHashMap<>();

    /** Whether what is reported is a claim that has to wait, with what is known of the member; null for nothing. */
    static boolean isClaim(Member known, Member reported) {
        return reported.state() == MemberState.DEAD
                && known != null
                && known.state() == MemberState.ALIVE
                && known.compareIncarnation(reported) == 0;
    }

    /** Adds a claim; whether it is the first of this member. */
    boolean add(double nowMs, Member reported) {
        return claims.putIfAbsent(reported.id(), new Claim(reported, nowMs + REFUTATION_TIMEOUT_MS)) == null;
    }

    /** The claims whose time is over; they are removed. */
    List<Member> takeDue(double nowMs) {
        List<Member> due = new ArrayList<>();
        claims.values().removeIf(claim -> {
            boolean expired = claim.dueMs() <= nowMs;
            if (expired) {
                due.add(claim.reported());
            }
            return expired;
        });
        return due;
    }

    /** When the time of the next claim is over; infinite for none. */
    double dueMs() {
        return claims.values().stream().mapToDouble(Claim::dueMs).min().orElse(Double.POSITIVE_INFINITY);
    }

    /** This process has stalled for so long: all times move. */
    void postpone(double byMs) {
        claims.replaceAll((id, claim) -> new Claim(claim.reported(), claim.dueMs() + byMs));
    }
}
