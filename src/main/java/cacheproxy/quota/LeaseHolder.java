package cacheproxy.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Grants what instances have ceded of one cap to those that want more. It never grants what has not been ceded to
 * itself, so several holders at once, as when a tier is split in halves, do no harm.
 */
final class LeaseHolder {
    /** So much, and until when. */
    private record TimedAmount(long amount, double untilMs) {}

    private final double windowMs;
    private final Map<Integer, TimedAmount> cessions = new HashMap<>();
    private final Map<Integer, Long> demands = new HashMap<>();
    /** Each may be using any of these, and what it used may be in the window until then. */
    private final Map<Integer, List<TimedAmount>> outstanding = new HashMap<>();

    private long round;
    private double roundStartMs;

    /**
     * {@code life}: apart from, and above, that of any life of this instance before, as the second it was started in.
     */
    LeaseHolder(double windowMs, int incarnation) {
        this.windowMs = windowMs;
        round = (long) incarnation << LeaseParticipant.INCARNATION_SHIFT;
    }

    /** Begins a round, which all are to be told of; its number. */
    long startRound(double nowMs) {
        roundStartMs = nowMs;
        demands.clear();
        return ++round;
    }

    /** An instance has answered; what is late, doubled or of another round tells nothing. */
    void onReport(int instance, LeaseParticipant.Report report) {
        if (report.round() == round && !demands.containsKey(instance)) {
            demands.put(instance, report.demand());
            // It was sent after the round began, so it binds at least until then.
            cessions.put(instance, new TimedAmount(report.ceded(), roundStartMs + windowMs + LeaseParticipant.TERM_MS));
        }
    }

    /** What each that has reported gets from now on; to be told to it. */
    Map<Integer, LeaseParticipant.Grant> grants(double nowMs) {
        cessions.values().removeIf(cession -> cession.untilMs <= nowMs);
        outstanding.values().forEach(l -> l.removeIf(o -> o.untilMs <= nowMs));
        List<Integer> demanding = new ArrayList<>();
        double totalDemand = 0;
        for (int instance : new TreeSet<>(demands.keySet())) {
            if (demands.get(instance) > 0) {
                demanding.add(instance);
                totalDemand += demands.get(instance);
            }
        }
        long outstandingElsewhere = 0;
        long current = 0;
        for (int instance : outstanding.keySet()) {
            if (demanding.contains(instance)) {
                current += maxOutstanding(instance);
            } else {
                outstandingElsewhere += maxOutstanding(instance);
            }
        }
        double expiryMs = bestExpiryMs(nowMs, outstandingElsewhere, totalDemand);
        double usableMs = usableMs(nowMs, expiryMs);
        long available = cededUntil(expiryMs);
        // Where even what is out is more than stands, nothing new is granted until that has ended.
        return usableMs <= 0 || outstandingElsewhere + current > available
                ? Map.of()
                : grants(demanding, available, outstandingElsewhere, expiryMs, usableMs);
    }

    private double usableMs(double nowMs, double expiryMs) {
        return expiryMs - nowMs - windowMs - LeaseParticipant.TIMER_MARGIN_MS;
    }

    /** What is ceded and stands until then. */
    private long cededUntil(double untilMs) {
        long sum = 0;
        for (TimedAmount cession : cessions.values()) {
            sum += cession.untilMs >= untilMs ? cession.amount : 0;
        }
        return sum;
    }

    /**
     * A grant that ends sooner can also draw on what was ceded in rounds before, by whoever was not heard in this one.
     */
    private double bestExpiryMs(double nowMs, long outstandingElsewhere, double wanted) {
        double bestMs = Double.NEGATIVE_INFINITY;
        double bestBenefit = 0;
        for (TimedAmount cession : cessions.values()) {
            double benefit = Math.min(wanted, (double) (cededUntil(cession.untilMs) - outstandingElsewhere))
                    * usableMs(nowMs, cession.untilMs);
            if (benefit > bestBenefit) {
                bestBenefit = benefit;
                bestMs = cession.untilMs;
            }
        }
        return bestMs;
    }

    private Map<Integer, LeaseParticipant.Grant> grants(
            List<Integer> demanding, long available, long outstandingElsewhere, double expiryMs, double usableMs) {
        Map<Integer, LeaseParticipant.Grant> grants = new HashMap<>();
        double[] demand = new double[demanding.size()];
        double[] weight = new double[demanding.size()];
        double[] share = new double[demanding.size()];
        for (int i = 0; i < demand.length; i++) {
            demand[i] = demands.get(demanding.get(i));
            weight[i] = 1;
        }
        MaxMinFairShare.share((double) (available - outstandingElsewhere), demand, weight, share, demand.length);
        long total = outstandingElsewhere;
        for (int i = 0; i < demand.length; i++) {
            total += Math.max(maxOutstanding(demanding.get(i)), (long) share[i]);
        }
        for (int i = 0; i < demand.length; i++) {
            int instance = demanding.get(i);
            long current = maxOutstanding(instance);
            long amount = (long) share[i];
            if (amount > current && total > available) { // others still have what they are to do without
                long reduction = Math.min(amount - current, total - available);
                amount -= reduction;
                total -= reduction;
            }
            if (amount > 0) {
                outstanding.computeIfAbsent(instance, k -> new ArrayList<>()).add(new TimedAmount(amount, expiryMs));
                grants.put(instance, new LeaseParticipant.Grant(round, amount, usableMs));
            }
        }
        return grants;
    }

    /** The most that this instance may be using. */
    private long maxOutstanding(int instance) {
        long max = 0;
        for (TimedAmount grant : outstanding.getOrDefault(instance, List.of())) {
            max = Math.max(max, grant.amount);
        }
        return max;
    }
}
