package cacheproxy.membership;

/**
 * A suspicion under way. The fewer members confirm it, the longer it lasts: from the longest time with one that
 * suspects down to the least with all that were asked to confirm (Lifeguard, section IV.B). Times in milliseconds.
 */
final class Suspicion {
    /** When it began. */
    double startedMs;
    /** When this instance looks next whether it has to confirm the suspicion. */
    double confirmAtMs;
    /** When this instance's own probe failed last; negative infinity if it has not tried or was answered. */
    double ownProbeFailedMs = Double.NEGATIVE_INFINITY;

    private final long incarnation;
    private final int processNonce;

    Suspicion(Member suspect, double nowMs) {
        incarnation = suspect.incarnation();
        processNonce = suspect.processNonce();
        startedMs = nowMs;
    }

    /** Whether it is of this incarnation of the member. */
    boolean concerns(Member member) {
        return incarnation == member.incarnation() && processNonce == member.processNonce();
    }

    /** Whether this instance's own last probe of the member has failed. */
    boolean hasOwnFailure() {
        return ownProbeFailedMs != Double.NEGATIVE_INFINITY;
    }

    /** When it ends with so many confirmers, of so many that are wanted. */
    double endMs(MembershipSettings settings, int confirmers, int required) {
        double ratio = required <= 0 ? 1 : Math.min(1, Math.log(Math.max(1, confirmers)) / Math.log(required + 1));
        double minMs = settings.minSuspicionMs();
        double maxMs = settings.maxSuspicionMs();
        return startedMs + Math.max(minMs, maxMs - (maxMs - minMs) * ratio);
    }
}
