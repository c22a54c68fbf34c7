package cacheproxy.emulator;

import java.util.ArrayDeque;

/**
 * The reduced capacity of a server that has just started, and its collapse under overload: if it is sent more than
 * {@code multiple} times its current capacity within a window, it fails and stays down.
 */
public final class ColdStart {
    private record Sent(double atMs, double workMs) {}

    /**
     * The warm-up from the start to full capacity, and the overload that a cold server collapses under.
     *
     * @param from capacity at the start, as a share of full capacity: above 0, at most 1
     * @param warmMs the time until full capacity is reached
     * @param multiple the multiple of its capacity that a cold server tolerates
     * @param windowMs the window over which the load is counted
     * @param slackMs additional work tolerated, to allow for random bursts
     */
    public record Settings(double from, double warmMs, double multiple, double windowMs, double slackMs) {
        /** @throws IllegalArgumentException if a value is out of its range */
        public Settings {
            if (!(from > 0 && from <= 1) || !(warmMs >= 0) || !(multiple >= 1) || !(windowMs > 0) || !(slackMs >= 0)) {
                throw new IllegalArgumentException("cold start of no sense: " + from + " of the capacity, warm after "
                        + warmMs + " ms, falls at " + multiple + " times it for " + windowMs + " ms");
            }
        }
    }

    private final Settings settings;
    private final double speed;
    private final double bornMs;
    private final ArrayDeque<Sent> window = new ArrayDeque<>();
    private double sentMs;

    /** {@code bornMs}: the start time; negative infinity for a server that is warm. */
    public ColdStart(Settings settings, double speed, double bornMs) {
        this.settings = settings;
        this.speed = speed;
        this.bornMs = bornMs;
    }

    /** The current capacity as a share of full capacity. */
    public double share(double now) {
        double age = now - bornMs;
        return age >= settings.warmMs()
                ? 1
                : settings.from() + (1 - settings.from()) * Math.max(0, age) / settings.warmMs();
    }

    /** Whether the server is still warming up. */
    public boolean cold(double now) {
        return now - bornMs < settings.warmMs();
    }

    /** Records work sent to the server; returns whether it collapses under the load. */
    public boolean pushedOver(double now, double workMs) {
        if (!cold(now)) {
            window.clear();
            sentMs = 0;
            return false;
        }
        window.add(new Sent(now, workMs));
        sentMs += workMs;
        while (window.peek().atMs() <= now - settings.windowMs()) {
            sentMs -= window.poll().workMs();
        }
        // Capacity grows linearly, so its mean over the window is its value at the window's midpoint.
        double canDo = share((now + Math.max(bornMs, now - settings.windowMs())) / 2) * speed * settings.windowMs();
        return sentMs > settings.multiple() * canDo + settings.slackMs();
    }
}
