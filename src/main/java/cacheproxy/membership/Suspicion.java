package cacheproxy.membership;

/**
 * An ongoing suspicion. The fewer members confirm it, the longer it lasts: from the maximum duration with a single
 * suspecting member down to the minimum with all members that were requested to confirm it (Lifeguard, section IV.B).
 * Times in milliseconds.
 */
final class Suspicion {
    /** When the suspicion started. */
    double startedMs;
    /** When this instance checks next whether it has to confirm the suspicion. */
    double confirmAtMs;
    /**
     * When this instance's own last probe of the member failed; negative infinity if there was none or it was answered.
     */
    double ownProbeFailedMs = Double.NEGATIVE_INFINITY;

    private final long incarnation;
    private final int processNonce;

    Suspicion(Member suspect, double nowMs) {
        incarnation = suspect.incarnation();
        processNonce = suspect.processNonce();
        startedMs = nowMs;
    }

    /** Whether the suspicion concerns this incarnation and process of the member. */
    boolean concerns(Member member) {
        return incarnation == member.incarnation() && processNonce == member.processNonce();
    }

    /** Whether this instance's own last probe of the member has failed. */
    boolean hasOwnFailure() {
        return ownProbeFailedMs != Double.NEGATIVE_INFINITY;
    }

    /** Returns when the suspicion ends with this number of confirmers, out of the required number. */
    double endMs(MembershipSettings settings, int confirmers, int required) {
        double ratio = required <= 0 ? 1 : Math.min(1, Math.log(Math.max(1, confirmers)) / Math.log(required + 1));
        double minMs = settings.minSuspicionMs();
        double maxMs = settings.maxSuspicionMs();
        return startedMs + Math.max(minMs, maxMs - (maxMs - minMs) * ratio);
    }
}
