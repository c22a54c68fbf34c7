package cacheproxy.model;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Measures what all instances together send to one cold node against its overload limit: it fails when a window holds
 * more than {@code N + 2 sqrt(N) + 2} requests, where {@code N} is what the settings allow at its age. Each request
 * counts as one of mean work, including misses and rejected requests.
 */
public final class ColdLoad {
    /**
     * The settings for cold nodes.
     *
     * @param start the least share of its full capacity that a node has when it starts
     * @param warmUpMs the time after which it has its full capacity at the latest
     * @param multiple how many times its present capacity it withstands
     * @param windowMs the window over which requests are counted
     */
    record Limits(double start, double warmUpMs, double multiple, double windowMs) {}

    /** One request that arrived; {@code told}: its instance had been told of the node's start. */
    private record Arrival(double atMs, Attempt attempt, int instance, boolean told) {}

    /**
     * A window of requests, as a ratio to the node's limit, and what it consisted of.
     *
     * @param part requests divided by the limit; above 1 the node fails
     * @param requests in the window
     * @param ageMs age of the node at the end of the window
     * @param told the share from instances that had been told of the node's start
     * @param further the share that were not the first attempts of their requests
     * @param repeats the share that were client retries
     * @param topKey the share of the most frequent key
     * @param topSender the share of the instance that sent most
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

    /** A failure breaks the rule if more than this share of its window came from instances told of the node's start. */
    static final double TOLD_PART = 2.0 / 3;

    private final Limits limits;
    private final double warmPerMs;
    private final double bornMs;
    private final ArrayDeque<Arrival> window = new ArrayDeque<>();
    private final Map<ColdRamp, Window> fullest = new EnumMap<>(ColdRamp.class);
    private final Map<ColdRamp, Window> fullestTold = new EnumMap<>(ColdRamp.class);
    private final Map<ColdRamp, Window> falls = new EnumMap<>(ColdRamp.class);
    private int told;

    /** {@code warmPerMs}: requests of mean work that the warm node can serve in a millisecond. */
    ColdLoad(Limits limits, double warmPerMs, double bornMs) {
        this.limits = limits;
        this.warmPerMs = warmPerMs;
        this.bornMs = bornMs;
    }

    /** Counts a request that arrived, if the node is still cold. */
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

    /** How many requests the window that ends now may hold before the node fails. */
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

    /** The window with the highest ratio to the limit. */
    public Window fullest(ColdRamp ramp) {
        return fullest.getOrDefault(ramp, Window.EMPTY);
    }

    /** Whether the node's first failure breaks the rule; windows after it don't count. */
    public boolean breaksRule(ColdRamp ramp) {
        Window first = falls.getOrDefault(ramp, Window.EMPTY);
        return first.part() > 1 && first.told() > TOLD_PART;
    }

    /** The highest ratio among windows of which over two thirds came from instances told of the node's start. */
    public Window fullestTold(ColdRamp ramp) {
        return fullestTold.getOrDefault(ramp, Window.EMPTY);
    }
}
