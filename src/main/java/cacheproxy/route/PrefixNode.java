package cacheproxy.route;

/**
 * The routes of one literal prefix. As a condition table it holds those for all keys that start with the prefix; in
 * addition it has the routes for exactly this key, and those whose pattern starts with the prefix.
 */
final class PrefixNode extends ConditionTable {
    private static final PatternRoute[] NO_PATTERNS = {};

    private final String prefix;
    private final long hash;
    private final int length;
    private int charactersOffset;
    private ConditionTable exact;
    private PatternRoute[] patterns = NO_PATTERNS;
    private PrefixNode shorter;

    PrefixNode(String prefix) {
        this.prefix = prefix;
        hash = PrefixIndex.hash(prefix);
        length = prefix.length();
    }

    String prefix() {
        return prefix;
    }

    long hash() {
        return hash;
    }

    /** The length of the prefix, in characters. */
    int length() {
        return length;
    }

    /** The offset of the prefix in the characters of the index. */
    int charactersOffset() {
        return charactersOffset;
    }

    void setCharactersOffset(int offset) {
        charactersOffset = offset;
    }

    /** The routes whose key is exactly the prefix; null if there are none. */
    ConditionTable exact() {
        return exact;
    }

    ConditionTable createExact() {
        if (exact == null) {
            exact = new ConditionTable();
        }
        return exact;
    }

    /** Sets the routes whose pattern starts with the prefix, the most specific first. */
    void setPatterns(PatternRoute[] sorted) {
        patterns = sorted;
    }

    /** Whether it has routes for keys longer than the prefix. */
    boolean hasRoutesForLongerKeys() {
        return !isEmpty() || patterns.length > 0;
    }

    /** The node of the next shorter prefix of this one that has routes for longer keys; null if there is none. */
    PrefixNode shorter() {
        return shorter;
    }

    void setShorter(PrefixNode node) {
        shorter = node;
    }

    /** The most specific route for a key that starts with the prefix; null if none matches. */
    Route match(CharSequence key, int tenant, int serviceClass, int front) {
        for (PatternRoute pattern : patterns) {
            if (pattern.matches(key, tenant, serviceClass, front)) {
                return pattern.route();
            }
        }
        return get(tenant, serviceClass, front);
    }
}
