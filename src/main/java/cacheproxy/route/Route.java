package cacheproxy.route;

import java.util.Set;

/**
 * Which requests go to which pool, under which policy. A request must meet all conditions; an empty one is met by all.
 *
 * @param name its name
 * @param key pattern of the request's key; null: any key
 * @param tenants the tenants whose requests these are
 * @param classes the service classes of the requests
 * @param fronts the front protocols through which they came, of {@link Routing#FRONTS}
 * @param pool the name of the pool
 * @param fallback the name of the pool that serves them when the first one can't; null: none
 * @param policy the name of the policy; null: the settings' own limits
 */
public record Route(
        String name,
        Glob key,
        Set<String> tenants,
        Set<String> classes,
        Set<String> fronts,
        String pool,
        String fallback,
        String policy) {
    static final int TENANT_BIT = 4;
    static final int CLASS_BIT = 2;
    static final int FRONT_BIT = 1;

    /** The conditions beside the key that are set, the more specific in the higher bit: tenant, class, front. */
    int conditionMask() {
        return (tenants.isEmpty() ? 0 : TENANT_BIT)
                | (classes.isEmpty() ? 0 : CLASS_BIT)
                | (fronts.isEmpty() ? 0 : FRONT_BIT);
    }

    String literalPrefix() {
        return key == null ? "" : key.literalPrefix();
    }

    boolean isExact() {
        return key != null && key.isExact();
    }

    /** Whether its key is a pattern that is neither exact nor a literal prefix. */
    boolean isPattern() {
        return key != null && !key.isExact() && !key.isPrefix();
    }

    /** Literal characters of a pattern behind its literal prefix; -1 if its key is no pattern. */
    int literalsAfterPrefix() {
        return isPattern() ? key.literalsAfterPrefix() : -1;
    }

    /** The requests that it matches, for operators. */
    public String describeTraffic() {
        StringBuilder text = new StringBuilder(key == null ? "any key" : key.isExact() ? "key " + key : "keys " + key);
        append(text, ", tenant ", tenants);
        append(text, ", class ", classes);
        append(text, ", front ", fronts);
        return text.toString();
    }

    private static void append(StringBuilder text, String label, Set<String> names) {
        if (!names.isEmpty()) {
            text.append(label)
                    .append(String.join(" or ", names.stream().sorted().toList()));
        }
    }
}
