package cacheproxy.emulator;

import java.util.ArrayDeque;

/**
 * What a server that has just started can do, and whether it is pushed over: sent more than {@code multiple} times its
 * present capacity over a window, it falls and stays down.
 */
public final class ColdStart {
    private record Sent(double atMs, double workMs) {}

    /**
     * The course from a start to full capacity, and what pushes a server over on the way.
     *
     * @param from capacity at the start, as a share of the whole: above 0, at most 1
     * @param warmMs after which time all of it is there
     * @param multiple how many times its capacity a cold server stands
     * @param windowMs over which time that is counted
     * @param slackMs work that may come beyond it, for chance
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

    /** {@code bornMs}: when it started; negative infinity for long ago. */
    public ColdStart(Settings settings, double speed, double bornMs) {
        this.settings = settings;
        this.speed = speed;
        this.bornMs = bornMs;
    }

    /** The share of its capacity that a server has now. */
    public double share(double now) {
        double age = now - bornMs;
        return age >= settings.warmMs()
                ? 1
                : settings.from() + (1 - settings.from()) * Math.max(0, age) / settings.warmMs();
    }

    /** Whether it still has less than its full capacity. */
    public boolean cold(double now) {
        return now - bornMs < settings.warmMs();
    }

    /** Counts work that has been sent to it; true if that pushes it over. */
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
        // Capacity grows in a straight line, so over the window it is on average what it was in its middle.
        double canDo = share((now + Math.max(bornMs, now - settings.windowMs())) / 2) * speed * settings.windowMs();
        return sentMs > settings.multiple() * canDo + settings.slackMs();
    }
}
