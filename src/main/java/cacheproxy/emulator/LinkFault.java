package cacheproxy.emulator;

import java.util.Set;

/**
 * Something that goes wrong between parts of a fleet and not in one of them.
 *
 * @param name for people
 * @param atMs when it begins
 * @param forMs how long it lasts, over 0
 * @param at one end, by the names of parts
 * @param from the other; may overlap the first, as all proxies do with all proxies
 * @param oneWay only what goes from {@code at} to {@code from} is concerned
 * @param way what happens to it
 */
public record LinkFault(
        String name, double atMs, double forMs, Set<String> at, Set<String> from, boolean oneWay, LinkConditions way) {
    /** Checks the ranges. */
    public LinkFault {
        at = Set.copyOf(at);
        from = Set.copyOf(from);
        if (!(atMs >= 0) || !(forMs > 0)) {
            throw new IllegalArgumentException("a fault at " + atMs + " ms for " + forMs + " ms");
        }
    }

    /** Whether it concerns what is sent from one part to another. */
    boolean concerns(String sender, String receiver) {
        return (at.contains(sender) && from.contains(receiver))
                || (!oneWay && from.contains(sender) && at.contains(receiver));
    }
}
