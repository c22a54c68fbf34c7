package cacheproxy.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Grants the parts of a cap that instances have ceded to those with more demand. It grants only what has been ceded to
 * itself, so that several holders at once, as in a network partition, are safe. Amounts in units of the quota's
 * measure, times in milliseconds of this instance's clock. Not thread-safe.
 */
final class LeaseHolder {
    private record TimedAmount(long amount, double untilMs) {}

    /** The instances that report demand with its total, and the outstanding grants. */
    private record Situation(
            List<Integer> demanding, double totalDemand, long outstandingElsewhere, long outstandingToDemanding) {}

    private final double windowMs;
    /** The latest cession of each instance. */
    private final Map<Integer, TimedAmount> cessions = new HashMap<>();
    /** Demand of the current round beyond its own share, by instance. */
    private final Map<Integer, Long> demands = new HashMap<>();
    /** Grants by instance: it may be using any of them, and its use may be in the window until they expire. */
    private final Map<Integer, List<TimedAmount>> outstanding = new HashMap<>();

    private long round;
    private double roundStartMs;

    /**
     * Creates a holder without cessions.
     *
     * @param incarnation above that of any earlier start of this instance, such as the second in which it started
     */
    LeaseHolder(double windowMs, int incarnation) {
        this.windowMs = windowMs;
        round = (long) incarnation << LeaseParticipant.INCARNATION_SHIFT;
    }

    /** Starts a round, of which all instances must be notified, and returns its number. */
    long startRound(double nowMs) {
        roundStartMs = nowMs;
        demands.clear();
        return ++round;
    }

    /** An instance has reported; duplicates and reports of other rounds are ignored. */
    void onReport(int instance, LeaseParticipant.Report report) {
        if (report.round() == round && !demands.containsKey(instance)) {
            demands.put(instance, report.demand());
            // It was sent after the round started, so it binds at least until then.
            cessions.put(instance, new TimedAmount(report.ceded(), roundStartMs + windowMs + LeaseParticipant.TERM_MS));
        }
    }

    /** The grants to the instances that have reported, to be sent to them. */
    Map<Integer, LeaseParticipant.Grant> grants(double nowMs) {
        cessions.values().removeIf(cession -> cession.untilMs <= nowMs);
        outstanding.values().forEach(grants -> grants.removeIf(grant -> grant.untilMs <= nowMs));
        Situation situation = situation();
        double expiryMs = bestExpiryMs(nowMs, situation);
        double usableMs = usableMs(nowMs, expiryMs);
        long available = cededUntil(expiryMs);
        long allOutstanding = situation.outstandingElsewhere() + situation.outstandingToDemanding();
        // Where more is outstanding than ceded, nothing is granted until that has expired.
        return usableMs <= 0 || allOutstanding > available
                ? Map.of()
                : grants(situation, available, expiryMs, usableMs);
    }

    private Situation situation() {
        List<Integer> demanding = new ArrayList<>();
        double totalDemand = 0;
        for (int instance : new TreeSet<>(demands.keySet())) {
            if (demands.get(instance) > 0) {
                demanding.add(instance);
                totalDemand += demands.get(instance);
            }
        }
        long elsewhere = 0;
        long toDemanding = 0;
        for (int instance : outstanding.keySet()) {
            if (demanding.contains(instance)) {
                toDemanding += maxOutstanding(instance);
            } else {
                elsewhere += maxOutstanding(instance);
            }
        }
        return new Situation(demanding, totalDemand, elsewhere, toDemanding);
    }

    /** How long a grant that expires at this time can be used: the last use must have left the window by then. */
    private double usableMs(double nowMs, double expiryMs) {
        return expiryMs - nowMs - windowMs - LeaseParticipant.TIMER_MARGIN_MS;
    }

    /** The amount that is ceded at least until this time. */
    private long cededUntil(double untilMs) {
        long sum = 0;
        for (TimedAmount cession : cessions.values()) {
            sum += cession.untilMs >= untilMs ? cession.amount : 0;
        }
        return sum;
    }

    /**
     * The expiry at which grants are of most use, as amount times duration. An earlier one can also draw on the earlier
     * cessions of instances that have not reported in this round. Negative infinity if none is of use.
     */
    private double bestExpiryMs(double nowMs, Situation situation) {
        double bestMs = Double.NEGATIVE_INFINITY;
        double bestBenefit = 0;
        for (TimedAmount cession : cessions.values()) {
            double grantable = (double) (cededUntil(cession.untilMs) - situation.outstandingElsewhere());
            double benefit = Math.min(situation.totalDemand(), grantable) * usableMs(nowMs, cession.untilMs);
            if (benefit > bestBenefit) {
                bestBenefit = benefit;
                bestMs = cession.untilMs;
            }
        }
        return bestMs;
    }

    private Map<Integer, LeaseParticipant.Grant> grants(
            Situation situation, long available, double expiryMs, double usableMs) {
        List<Integer> demanding = situation.demanding();
        double[] shares = shares(demanding, available - situation.outstandingElsewhere());
        long total = situation.outstandingElsewhere();
        for (int i = 0; i < shares.length; i++) {
            total += Math.max(maxOutstanding(demanding.get(i)), (long) shares[i]);
        }
        Map<Integer, LeaseParticipant.Grant> grants = new HashMap<>();
        for (int i = 0; i < shares.length; i++) {
            int instance = demanding.get(i);
            long current = maxOutstanding(instance);
            long amount = (long) shares[i];
            if (amount > current && total > available) { // others may still use what this round takes from them
                long reduction = Math.min(amount - current, total - available);
                amount -= reduction;
                total -= reduction;
            }
            if (amount > 0) {
                outstanding.computeIfAbsent(instance, id -> new ArrayList<>()).add(new TimedAmount(amount, expiryMs));
                grants.put(instance, new LeaseParticipant.Grant(round, amount, usableMs));
            }
        }
        return grants;
    }

    private double[] shares(List<Integer> demanding, long amount) {
        double[] demand = new double[demanding.size()];
        double[] weights = new double[demanding.size()];
        double[] shares = new double[demanding.size()];
        for (int i = 0; i < demand.length; i++) {
            demand[i] = demands.get(demanding.get(i));
            weights[i] = 1;
        }
        MaxMinFairShare.share((double) amount, demand, weights, shares, demand.length);
        return shares;
    }

    /** The most that an instance may be using of its grants. */
    private long maxOutstanding(int instance) {
        long max = 0;
        for (TimedAmount grant : outstanding.getOrDefault(instance, List.of())) {
            max = Math.max(max, grant.amount);
        }
        return max;
    }
}
