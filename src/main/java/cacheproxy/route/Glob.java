package cacheproxy.route;

/**
 * A pattern over a whole text: {@code *} stands for any characters or none, {@code ?} for exactly one. The literal
 * characters before the first of them are its beginning.
 */
public final class Glob {
    /** In characters. */
    public static final int MAX_LENGTH = 256;

    private final String pattern;
    private final int literalPrefix;
    private final int literals;

    /** An IllegalArgumentException says what is wrong with it. */
    public Glob(String pattern) {
        if (pattern.isEmpty() || pattern.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    pattern.isEmpty() ? "an empty pattern" : "a pattern of more than " + MAX_LENGTH + " characters");
        }
        if (pattern.contains("**")) {
            throw new IllegalArgumentException("two asterisks side by side, which mean no more than one");
        }
        this.pattern = pattern;
        int i = 0;
        while (i < pattern.length() && !isWildcard(pattern.charAt(i))) {
            i++;
        }
        literalPrefix = i;
        literals = (int) pattern.chars().filter(c -> !isWildcard((char) c)).count();
    }

    private static boolean isWildcard(char c) {
        return c == '*' || c == '?';
    }

    /** Whether it matches one text only. */
    public boolean isExact() {
        return literalPrefix == pattern.length();
    }

    /** Whether it is a beginning with one asterisk behind it. */
    public boolean isPrefix() {
        return literalPrefix == pattern.length() - 1 && pattern.charAt(literalPrefix) == '*';
    }

    /** The literal characters that it begins with. */
    public String literalPrefix() {
        return pattern.substring(0, literalPrefix);
    }

    /** How many literal characters it has behind its beginning. */
    public int literalsAfterPrefix() {
        return literals - literalPrefix;
    }

    /** Whether it matches the whole text. Takes time in the product of the lengths at most, and no memory. */
    public boolean matches(CharSequence text) {
        int p = 0;
        int t = 0;
        int star = -1;
        int mark = 0;
        while (t < text.length()) {
            if (p < pattern.length() && pattern.charAt(p) == '*') {
                star = p++;
                mark = t;
            } else if (p < pattern.length() && (pattern.charAt(p) == '?' || pattern.charAt(p) == text.charAt(t))) {
                p++;
                t++;
            } else if (star >= 0) {
                p = star + 1;
                t = ++mark;
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
                    // Each star ends here, or takes a character of the other.
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

    /** As it was written. */
    @Override
    public String toString() {
        return pattern;
    }
}
