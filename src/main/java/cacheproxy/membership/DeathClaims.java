package cacheproxy.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Claims by other instances that a member is dead although no suspicion of it was known here. Such a claim is late or
 * comes from the other side of a partition; it is accepted after a delay in which the member may refute it. Otherwise,
 * when a partition heals, each side would briefly declare its own neighbors dead.
 */
final class DeathClaims {
    /** The time a member has to refute a claim. */
    private static final double REFUTATION_TIMEOUT_MS = 800;

    private record Claim(Member reported, double dueMs) {}

    private final Map<Integer, Claim> claims = new LinkedHashMap<>();

    /** Whether a report is a claim that has to wait. {@code known}: what is known of the member; null if nothing is. */
    static boolean isClaim(Member known, Member reported) {
        return reported.state() == MemberState.DEAD
                && known != null
                && known.state() == MemberState.ALIVE
                && known.compareIncarnation(reported) == 0;
    }

    /** Adds a claim; returns whether it is the first about this member. */
    boolean add(double nowMs, Member reported) {
        return claims.putIfAbsent(reported.id(), new Claim(reported, nowMs + REFUTATION_TIMEOUT_MS)) == null;
    }

    /** Removes and returns the claims whose time is over. */
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

    /** Returns when the time of the next claim is over; infinite if there is no claim. */
    double dueMs() {
        return claims.values().stream().mapToDouble(Claim::dueMs).min().orElse(Double.POSITIVE_INFINITY);
    }

    /** This process has stalled for this time; moves all deadlines. */
    void postpone(double byMs) {
        claims.replaceAll((id, claim) -> new Claim(claim.reported(), claim.dueMs() + byMs));
    }
}
