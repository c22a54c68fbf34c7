package cacheproxy.recovery;

import java.util.EnumMap;
import java.util.Map;

/**
 * What this process works with that it has not seen itself, where it came from, and until when it may. Whatever is met
 * at first hand takes its place. A decision that rests on something past its bound is a stale one, and is counted;
 * whoever holds the thing is to drop it when {@link #expired} says so, so that there are none.
 */
public final class Trust {
    /** What may come from elsewhere. */
    public enum Thing {
        /** The list of servers. */
        LIST("list"),
        /** What was learnt of servers and the origin. */
        LEARNT("learnt"),
        /** How far zones are open. */
        ZONES("zones"),
        /** The number of this instance's life. */
        INCARNATION("incarnation");

        private final String wireName;

        Thing(String wireName) {
            this.wireName = wireName;
        }

        /** Its name in status answers. */
        public String wireName() {
            return wireName;
        }
    }

    /**
     * How one thing stands.
     *
     * @param source where it came from
     * @param ageMs how old it was when it was taken; NaN where that is not known
     * @param untilMs it may be used until then, by the clock of whoever asks; infinite for no bound
     * @param hint it only makes decisions more careful
     */
    public record Standing(Source source, double ageMs, double untilMs, boolean hint) {}

    private static final Standing NOTHING = new Standing(Source.NONE, Double.NaN, Double.POSITIVE_INFINITY, false);

    private final Map<Thing, Standing> standing = new EnumMap<>(Thing.class);
    private long refused;
    private long stale;

    /** Something has been taken from elsewhere. */
    public void taken(double nowMs, Thing thing, Source source, double ageMs, double boundMs, boolean hint) {
        standing.put(
                thing,
                new Standing(
                        source,
                        ageMs,
                        Double.isNaN(ageMs) ? Double.POSITIVE_INFINITY : nowMs + Math.max(0, boundMs - ageMs),
                        hint));
    }

    /** Something was there and was not taken, as it is too old, or another's. */
    public void refused(Thing thing) {
        refused++;
    }

    /** It has been met at first hand. */
    public void confirmed(Thing thing) {
        standing.put(thing, new Standing(Source.FIRST_HAND, 0, Double.POSITIVE_INFINITY, false));
    }

    /** What was taken has been let go of. */
    public void dropped(Thing thing) {
        standing.remove(thing);
    }

    /** How a thing stands. */
    public Standing of(Thing thing) {
        return standing.getOrDefault(thing, NOTHING);
    }

    /** Whether it is past its bound, and is to be let go of. */
    public boolean expired(double nowMs, Thing thing) {
        return nowMs > of(thing).untilMs();
    }

    /** Something is decided by this thing now. */
    public void decided(double nowMs, Thing thing) {
        if (expired(nowMs, thing)) {
            stale++;
        }
    }

    /** Records that were found and not used. */
    public long refused() {
        return refused;
    }

    /** Decisions by something past its bound; stays 0. */
    public long staleDecisions() {
        return stale;
    }
}
