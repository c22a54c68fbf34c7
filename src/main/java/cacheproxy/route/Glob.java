package cacheproxy.route;

/**
 * A pattern over a whole text: {@code *} stands for any characters or none, {@code ?} for exactly one. The literal
 * characters before the first of them are its beginning.
 */
public final class Glob {
    /** In characters. */
    public static final int LONGEST = 256;

    private final String pattern;
    private final int beginning;
    private final int literals;

    /** An IllegalArgumentException says what is wrong with it. */
    public Glob(String pattern) {
        if (pattern.isEmpty() || pattern.length() > LONGEST) {
            throw new IllegalArgumentException(
                    pattern.isEmpty() ? "an empty pattern" : "a pattern of more than " + LONGEST + " characters");
        }
        if (pattern.contains("**")) {
            throw new IllegalArgumentException("two asterisks side by side, which mean no more than one");
        }
        this.pattern = pattern;
        int i = 0;
        while (i < pattern.length() && !wild(pattern.charAt(i))) {
            i++;
        }
        beginning = i;
        literals = (int) pattern.chars().filter(c -> !wild((char) c)).count();
    }

    private static boolean wild(char c) {
        return c == '*' || c == '?';
    }

    /** Whether it matches one text only. */
    public boolean exact() {
        return beginning == pattern.length();
    }

    /** Whether it is a beginning with one asterisk behind it. */
    public boolean prefix() {
        return beginning == pattern.length() - 1 && pattern.charAt(beginning) == '*';
    }

    /** The literal characters that it begins with. */
    public String beginning() {
        return pattern.substring(0, beginning);
    }

    /** How many literal characters it has behind its beginning. */
    public int furtherLiterals() {
        return literals - beginning;
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
    public boolean meets(Glob other) {
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
