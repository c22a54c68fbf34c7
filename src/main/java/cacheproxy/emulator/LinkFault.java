package cacheproxy.emulator;

import java.util.Set;

/**
 * A fault of the links between components of a fleet, as opposed to a fault of one component.
 *
 * @param name a descriptive name
 * @param atMs start time
 * @param forMs duration, above 0
 * @param at the names of the components at one end
 * @param from those at the other end; may overlap {@code at}, as for faults between all proxies
 * @param oneWay whether only traffic from {@code at} to {@code from} is affected
 * @param way the conditions of the affected links
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

    /** Whether it affects the link from a sender to a receiver. */
    boolean concerns(String sender, String receiver) {
        return (at.contains(sender) && from.contains(receiver))
                || (!oneWay && from.contains(sender) && at.contains(receiver));
    }
}
