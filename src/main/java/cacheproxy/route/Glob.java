package cacheproxy.route;

/**
 * A pattern that matches a whole text: {@code *} stands for any characters or none, {@code ?} for exactly one. The
 * literal characters before the first of them are its literal prefix. Immutable; equal to another of the same text.
 */
public final class Glob {
    /** The longest pattern, in characters. */
    public static final int MAX_LENGTH = 256;

    private final String pattern;
    private final int prefixLength;
    private final int literals;

    /**
     * Parses a pattern.
     *
     * @throws InvalidPatternException if it is empty, too long, or has two asterisks side by side
     */
    public Glob(String pattern) {
        if (pattern.isEmpty() || pattern.length() > MAX_LENGTH) {
            throw new InvalidPatternException(
                    pattern.isEmpty() ? "an empty pattern" : "a pattern of more than " + MAX_LENGTH + " characters");
        }
        if (pattern.contains("**")) {
            throw new InvalidPatternException("two asterisks side by side, which mean no more than one");
        }
        this.pattern = pattern;
        int end = 0;
        while (end < pattern.length() && !isWildcard(pattern.charAt(end))) {
            end++;
        }
        prefixLength = end;
        literals = (int) pattern.chars().filter(c -> !isWildcard((char) c)).count();
    }

    private static boolean isWildcard(char c) {
        return c == '*' || c == '?';
    }

    /** Whether it has no wildcard, and so matches one text only. */
    public boolean isExact() {
        return prefixLength == pattern.length();
    }

    /** Whether it is a literal prefix with one asterisk behind it. */
    public boolean isPrefix() {
        return prefixLength == pattern.length() - 1 && pattern.charAt(prefixLength) == '*';
    }

    /** The literal characters that it begins with. */
    public String literalPrefix() {
        return pattern.substring(0, prefixLength);
    }

    /** The number of literal characters behind its literal prefix. */
    public int literalsAfterPrefix() {
        return literals - prefixLength;
    }

    /**
     * Whether it matches the whole text. Takes time proportional to the product of the lengths at most; allocates
     * nothing.
     */
    public boolean matches(CharSequence text) {
        int p = 0;
        int t = 0;
        int star = -1;
        int starTextStart = 0;
        while (t < text.length()) {
            if (p < pattern.length() && pattern.charAt(p) == '*') {
                star = p++;
                starTextStart = t;
            } else if (p < pattern.length() && (pattern.charAt(p) == '?' || pattern.charAt(p) == text.charAt(t))) {
                p++;
                t++;
            } else if (star >= 0) {
                p = star + 1;
                t = ++starTextStart;
            } else {
                return false;
            }
        }
        while (p < pattern.length() && pattern.charAt(p) == '*') {
            p++;
        }
        return p == pattern.length();
    }

    /** Whether there is a text that both match. */
    public boolean overlaps(Glob other) {
        String a = pattern;
        String b = other.pattern;
        boolean[][] reach = new boolean[a.length() + 1][b.length() + 1];
        for (int i = a.length(); i >= 0; i--) {
            for (int j = b.length(); j >= 0; j--) {
                boolean starA = i < a.length() && a.charAt(i) == '*';
                boolean starB = j < b.length() && b.charAt(j) == '*';
                if (i == a.length() && j == b.length()) {
                    reach[i][j] = true;
                } else if (starA || starB) {
                    // Each asterisk matches nothing more, or one more character of the other pattern.
                    reach[i][j] = (starA && (reach[i + 1][j] || (j < b.length() && reach[i][j + 1])))
                            || (starB && (reach[i][j + 1] || (i < a.length() && reach[i + 1][j])));
                } else if (i < a.length() && j < b.length()) {
                    boolean same = a.charAt(i) == '?' || b.charAt(j) == '?' || a.charAt(i) == b.charAt(j);
                    reach[i][j] = same && reach[i + 1][j + 1];
                }
            }
        }
        return reach[0][0];
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Glob g && g.pattern.equals(pattern);
    }

    @Override
    public int hashCode() {
        return pattern.hashCode();
    }

    /** The pattern as written. */
    @Override
    public String toString() {
        return pattern;
    }
}
