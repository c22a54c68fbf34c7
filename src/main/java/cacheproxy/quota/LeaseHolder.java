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
    private record Part(long amount, double untilMs) {}

    private final double windowMs;
    private final Map<Integer, Part> ceded = new HashMap<>();
    private final Map<Integer, Long> wants = new HashMap<>();
    /** Each may be using any of these, and what it used may be in the window until then. */
    private final Map<Integer, List<Part>> out = new HashMap<>();

    private long round;
    private double beganMs;

    /**
     * {@code life}: apart from, and above, that of any life of this instance before, as the second it was started in.
     */
    LeaseHolder(double windowMs, int life) {
        this.windowMs = windowMs;
        round = (long) life << LeaseParty.LIFE_BITS;
    }

    /** Begins a round, which all are to be told of; its number. */
    long begin(double now) {
        beganMs = now;
        wants.clear();
        return ++round;
    }

    /** An instance has answered; what is late, doubled or of another round tells nothing. */
    void reported(int instance, LeaseParty.Report report) {
        if (report.round() == round && !wants.containsKey(instance)) {
            wants.put(instance, report.want());
            // It was sent after the round began, so it binds at least until then.
            ceded.put(instance, new Part(report.ceded(), beganMs + windowMs + LeaseParty.TERM_MS));
        }
    }

    /** What each that has reported gets from now on; to be told to it. */
    Map<Integer, LeaseParty.Grant> grants(double now) {
        ceded.values().removeIf(c -> c.untilMs <= now);
        out.values().forEach(l -> l.removeIf(o -> o.untilMs <= now));
        List<Integer> asking = new ArrayList<>();
        double wanted = 0;
        for (int instance : new TreeSet<>(wants.keySet())) {
            if (wants.get(instance) > 0) {
                asking.add(instance);
                wanted += wants.get(instance);
            }
        }
        long taken = 0;
        long had = 0;
        for (int instance : out.keySet()) {
            if (asking.contains(instance)) {
                had += most(instance);
            } else {
                taken += most(instance);
            }
        }
        double ends = end(now, taken, wanted);
        double usableMs = usableMs(now, ends);
        long free = standing(ends);
        // Where even what is out is more than stands, nothing new is granted until that has ended.
        return usableMs <= 0 || taken + had > free ? Map.of() : grants(asking, free, taken, ends, usableMs);
    }

    private double usableMs(double now, double ends) {
        return ends - now - windowMs - LeaseParty.MARGIN_MS;
    }

    /** What is ceded and stands until then. */
    private long standing(double untilMs) {
        long sum = 0;
        for (Part c : ceded.values()) {
            sum += c.untilMs >= untilMs ? c.amount : 0;
        }
        return sum;
    }

    /**
     * A grant that ends sooner can also draw on what was ceded in rounds before, by whoever was not heard in this one.
     */
    private double end(double now, long taken, double wanted) {
        double best = Double.NEGATIVE_INFINITY;
        double most = 0;
        for (Part c : ceded.values()) {
            double worth = Math.min(wanted, (double) (standing(c.untilMs) - taken)) * usableMs(now, c.untilMs);
            if (worth > most) {
                most = worth;
                best = c.untilMs;
            }
        }
        return best;
    }

    private Map<Integer, LeaseParty.Grant> grants(
            List<Integer> asking, long free, long taken, double ends, double usableMs) {
        Map<Integer, LeaseParty.Grant> grants = new HashMap<>();
        double[] want = new double[asking.size()];
        double[] weight = new double[asking.size()];
        double[] given = new double[asking.size()];
        for (int i = 0; i < want.length; i++) {
            want[i] = wants.get(asking.get(i));
            weight[i] = 1;
        }
        Lending.share((double) (free - taken), want, weight, given, want.length);
        long sum = taken;
        for (int i = 0; i < want.length; i++) {
            sum += Math.max(most(asking.get(i)), (long) given[i]);
        }
        for (int i = 0; i < want.length; i++) {
            int instance = asking.get(i);
            long had = most(instance);
            long amount = (long) given[i];
            if (amount > had && sum > free) { // others still have what they are to do without
                long less = Math.min(amount - had, sum - free);
                amount -= less;
                sum -= less;
            }
            if (amount > 0) {
                out.computeIfAbsent(instance, k -> new ArrayList<>()).add(new Part(amount, ends));
                grants.put(instance, new LeaseParty.Grant(round, amount, usableMs));
            }
        }
        return grants;
    }

    /** The most that this instance may be using. */
    private long most(int instance) {
        long most = 0;
        for (Part o : out.getOrDefault(instance, List.of())) {
            most = Math.max(most, o.amount);
        }
        return most;
    }
}
