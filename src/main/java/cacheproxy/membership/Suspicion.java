package cacheproxy.membership;

/**
 * A suspicion under way. It lasts the longer the fewer confirm it: from the longest time with one who suspects down to
 * the least with all who were to look (Lifeguard, section IV.B).
 */
final class Suspicion {
    final long incarnation;
    final int life;
    double startedMs;
    /** When this instance asks next whether it is to look. */
    double confirmAtMs;
    /** When this instance itself did not reach it last; negative infinity if it has not tried. */
    double ownProbeFailedMs = Double.NEGATIVE_INFINITY;

    Suspicion(Member entry, double nowMs) {
        incarnation = entry.incarnation();
        life = entry.processNonce();
        startedMs = nowMs;
    }

    boolean concerns(Member entry) {
        return incarnation == entry.incarnation() && life == entry.processNonce();
    }

    /** When it is over. */
    double endMs(MembershipSettings s, int confirmers, int wanted) {
        double part = wanted <= 0 ? 1 : Math.min(1, Math.log(Math.max(1, confirmers)) / Math.log(wanted + 1));
        return startedMs
                + Math.max(s.minSuspicionMs(), s.maxSuspicionMs() - (s.maxSuspicionMs() - s.minSuspicionMs()) * part);
    }
}
