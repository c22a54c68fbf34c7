package cacheproxy.quota;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One node as it is configured, with what lies beneath it.
 *
 * @param name what requests call it; {@value #ANY} stands for all who are not named beside it together, {@value #EACH}
 *     for each of them
 * @param weight its part of what is lent, against its siblings': above 0
 * @param limits none: only what is above it bounds it
 * @param children apart in name
 */
public record QuotaSpec(String name, double weight, List<Limit> limits, List<QuotaSpec> children) {
    /** The name of whoever is not named. */
    public static final String ANY = "*";
    /** The name of a node that is made anew for each name that is not named beside it. */
    public static final String EACH = "each";
    /** Levels beneath the root. */
    public static final int MAX_DEPTH = 5;
    /** Of one node: three measures over a short and a long window, with one to spare of each. */
    public static final int MAX_LIMITS = 9;

    /** Checks what can be wrong with one node by itself. */
    public QuotaSpec {
        limits = List.copyOf(limits);
        children = List.copyOf(children);
        if (!(weight > 0) || Double.isInfinite(weight)) {
            throw new IllegalArgumentException(name + " has weight " + weight + "; it takes more than 0");
        }
        if (limits.size() > MAX_LIMITS) {
            throw new IllegalArgumentException(name + " has " + limits.size() + " quotas; " + MAX_LIMITS + " at most");
        }
        for (int i = 0; i < limits.size(); i++) {
            for (Limit other : limits.subList(0, i)) {
                if (limits.get(i).hasSameMeasureAndWindow(other)) {
                    throw new IllegalArgumentException(
                            name + " has two quotas for " + other.measure() + " in " + other.windowMs() + " ms");
                }
            }
        }
        Set<String> names = new HashSet<>();
        children.forEach(c -> {
            if (!names.add(c.name())) {
                throw new IllegalArgumentException(name + " has two of the name " + c.name());
            }
        });
    }

    /** Levels beneath this one. */
    int depth() {
        return children.stream().mapToInt(c -> 1 + c.depth()).max().orElse(0);
    }
}
