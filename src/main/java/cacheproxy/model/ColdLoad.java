package cacheproxy.model;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * What all instances together send one node while it is cold, held against what makes it fall: more than {@code N + 2
 * sqrt(N) + 2} requests in a window, {@code N} being what the settings allow it then. Each request counts as one of
 * mean work, a miss and one that is turned away as well.
 */
public final class ColdLoad {
    /**
     * What the settings say of cold nodes.
     *
     * @param start the part of its capacity that a node has at its start at least
     * @param warmUpMs after which time it has all of it at the latest
     * @param multiple how many times its present capacity it stands
     * @param windowMs over which time that is counted
     */
    record Limits(double start, double warmUpMs, double multiple, double windowMs) {}

    /** One request that has come; {@code told}: its instance had been told of the node's start. */
    private record Arrival(double atMs, Attempt attempt, int instance, boolean told) {}

    /**
     * The fullest window, as a part of what makes the node fall, and who filled it.
     *
     * @param part requests over the limit; above 1 the node falls
     * @param requests in the window
     * @param ageMs of the node at the window's end
     * @param told the part that came from instances that had been told of the start
     * @param further the part that were not the first attempts of their requests
     * @param repeats the part that were clients' repeats
     * @param topKey the part that one key has
     * @param topSender the part that one instance has
     */
    public record Window(
            double part,
            int requests,
            double ageMs,
            double told,
            double further,
            double repeats,
            double topKey,
            double topSender) {
        static final Window EMPTY = new Window(0, 0, 0, 1, 0, 0, 0, 0);
    }

    /** The rule is broken by a fall of which more than this part came from instances that had been told. */
    static final double TOLD_PART = 2.0 / 3;

    private final Limits limits;
    private final double warmPerMs;
    private final double bornMs;
    private final ArrayDeque<Arrival> window = new ArrayDeque<>();
    private final Map<ColdRamp, Window> fullest = new EnumMap<>(ColdRamp.class);
    private final Map<ColdRamp, Window> fullestTold = new EnumMap<>(ColdRamp.class);
    private final Map<ColdRamp, Window> falls = new EnumMap<>(ColdRamp.class);
    private int told;

    /** {@code warmPerMs}: requests of mean work that the node can do in a millisecond once it is warm. */
    ColdLoad(Limits limits, double warmPerMs, double bornMs) {
        this.limits = limits;
        this.warmPerMs = warmPerMs;
        this.bornMs = bornMs;
    }

    /** Counts a request that has come, if the node is still cold. */
    void arrived(double now, Attempt attempt, int instance, boolean knows) {
        if (now - bornMs >= limits.warmUpMs()) {
            window.clear();
            return;
        }
        window.add(new Arrival(now, attempt, instance, knows));
        told += knows ? 1 : 0;
        while (window.peek().atMs() <= now - limits.windowMs()) {
            told -= window.poll().told() ? 1 : 0;
        }
        for (ColdRamp ramp : ColdRamp.values()) {
            look(now, ramp);
        }
    }

    private void look(double now, ColdRamp ramp) {
        double part = window.size() / limit(now, ramp);
        if (part > 1 && !falls.containsKey(ramp)) {
            falls.put(ramp, window(now, part));
        }
        if (part > fullest(ramp).part()) {
            fullest.put(ramp, window(now, part));
        }
        if (told > TOLD_PART * window.size() && part > fullestTold(ramp).part()) {
            fullestTold.put(ramp, window(now, part));
        }
    }

    /** How many requests in the window that ends now do not push it over. */
    private double limit(double now, ColdRamp ramp) {
        double middle = (now + Math.max(bornMs, now - limits.windowMs())) / 2;
        double share = ramp.share(middle - bornMs, limits.start(), limits.warmUpMs());
        double allowed = limits.multiple() * share * warmPerMs * limits.windowMs();
        return allowed + 2 * Math.sqrt(allowed) + 2;
    }

    private Window window(double now, double part) {
        double all = window.size();
        return new Window(
                part,
                window.size(),
                now - bornMs,
                told / all,
                window.stream().filter(a -> a.attempt().index > 0).count() / all,
                window.stream().filter(a -> a.attempt().ask.again).count() / all,
                most(window, a -> a.attempt().ask.request.key()) / all,
                most(window, Arrival::instance) / all);
    }

    private static <K> int most(Collection<Arrival> of, Function<Arrival, K> by) {
        Map<K, Integer> counts = new HashMap<>();
        int most = 0;
        for (Arrival a : of) {
            most = Math.max(most, counts.merge(by.apply(a), 1, Integer::sum));
        }
        return most;
    }

    /** The fullest window of all. */
    public Window fullest(ColdRamp ramp) {
        return fullest.getOrDefault(ramp, Window.EMPTY);
    }

    /** Whether it falls, and by that breaks the rule: what comes after its first fall no longer counts. */
    public boolean breaksRule(ColdRamp ramp) {
        Window first = falls.getOrDefault(ramp, Window.EMPTY);
        return first.part() > 1 && first.told() > TOLD_PART;
    }

    /** The fullest of those that would break the rule: over two thirds came from instances that had been told. */
    public Window fullestTold(ColdRamp ramp) {
        return fullestTold.getOrDefault(ramp, Window.EMPTY);
    }
}
