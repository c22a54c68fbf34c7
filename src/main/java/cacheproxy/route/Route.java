package cacheproxy.route;

import java.util.Set;

/**
 * Which requests go where. A condition that is not set names all.
 *
 * @param name its name
 * @param key pattern of the key; null: any
 * @param tenants whose they are
 * @param classes of which class they are
 * @param fronts through which front they came
 * @param pool the pool's name
 * @param fallback the pool that is asked next; null: none
 * @param policy the policy's name; null: the settings' own
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

    /** Which of the conditions beside the key are set, the weightier in the higher bit: tenant, class, front. */
    int conditionMask() {
        return (tenants.isEmpty() ? 0 : 4) | (classes.isEmpty() ? 0 : 2) | (fronts.isEmpty() ? 0 : 1);
    }

    String literalPrefix() {
        return key == null ? "" : key.literalPrefix();
    }

    boolean isExact() {
        return key != null && key.isExact();
    }

    /** Neither one key nor all that begin alike. */
    boolean isPattern() {
        return key != null && !key.isExact() && !key.isPrefix();
    }

    int literalsAfterPrefix() {
        return isPattern() ? key.literalsAfterPrefix() : -1;
    }

    /** For people: what it matches. */
    public String describeTraffic() {
        StringBuilder s = new StringBuilder(key == null ? "any key" : key.isExact() ? "key " + key : "keys " + key);
        append(s, ", tenant ", tenants);
        append(s, ", class ", classes);
        append(s, ", front ", fronts);
        return s.toString();
    }

    private static void append(StringBuilder s, String words, Set<String> names) {
        if (!names.isEmpty()) {
            s.append(words).append(String.join(" or ", names.stream().sorted().toList()));
        }
    }
}
