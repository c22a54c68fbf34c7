package cacheproxy.quota;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The definition of a node of the quota tree, with the nodes below it.
 *
 * @param name the name that requests carry; {@value #ANY} stands for all unnamed siblings together, {@value #EACH} for
 *     each of them
 * @param weight its part of what is lent, relative to its siblings; above 0
 * @param limits its quotas; empty if only those above it bound it
 * @param children with different names
 */
public record QuotaSpec(String name, double weight, List<Limit> limits, List<QuotaSpec> children) {
    /** The name of the node that all unnamed owners share. */
    public static final String ANY = "*";
    /** The name of the node that is copied for each unnamed owner. */
    public static final String EACH = "each";
    /** Levels below the root. */
    public static final int MAX_DEPTH = 5;
    /** Quotas of one node: three measures over a short and a long window, and one more of each. */
    public static final int MAX_LIMITS = 9;

    /**
     * Checks the node by itself; {@link QuotaTree} checks it against others.
     *
     * @throws InvalidQuotaException if it has an invalid weight, too many quotas, or two of a kind
     */
    public QuotaSpec {
        limits = List.copyOf(limits);
        children = List.copyOf(children);
        if (!(weight > 0) || Double.isInfinite(weight)) {
            throw new InvalidQuotaException(name + " has weight " + weight + "; it must be positive and finite");
        }
        if (limits.size() > MAX_LIMITS) {
            throw new InvalidQuotaException(name + " has " + limits.size() + " quotas; " + MAX_LIMITS + " at most");
        }
        for (int i = 0; i < limits.size(); i++) {
            for (Limit other : limits.subList(0, i)) {
                if (limits.get(i).hasSameMeasureAndWindow(other)) {
                    throw new InvalidQuotaException(name + " has two quotas for "
                            + other.measure().label() + " in " + other.windowMs() + " ms");
                }
            }
        }
        Set<String> names = new HashSet<>();
        children.forEach(child -> {
            if (!names.add(child.name())) {
                throw new InvalidQuotaException(name + " has two children named " + child.name());
            }
        });
    }

    /** Levels below this one. */
    int depth() {
        return children.stream().mapToInt(child -> 1 + child.depth()).max().orElse(0);
    }
}
