package cacheproxy.config;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Suggestions for unknown names, based on edit distance. */
public final class Suggestions {
    private static final int MAX_LENGTH = 64;

    private Suggestions() {}

    /** "did you mean X?", else the list of known names, or null if there are none or more than 12. */
    public static String suggest(String given, Collection<String> known) {
        Optional<String> near = known.stream()
                .filter(k -> distance(given, k) <= Math.max(1, Math.min(2, k.length() / 3)))
                .min(Comparator.<String>comparingInt(k -> distance(given, k)).thenComparing(Comparator.naturalOrder()));
        if (near.isPresent()) {
            return "did you mean " + near.get() + "?";
        }
        return known.isEmpty()
                ? null
                : known.size() > 12
                        ? null
                        : "one of " + String.join(", ", known.stream().sorted().toList());
    }

    /** Damerau-Levenshtein distance (Damerau, 1964): insertions, deletions, substitutions and adjacent swaps. */
    static int distance(String a, String b) {
        if (a.length() > MAX_LENGTH || b.length() > MAX_LENGTH) {
            return Integer.MAX_VALUE;
        }
        int[][] d = new int[a.length() + 1][b.length() + 1];
        for (int i = 0; i <= a.length(); i++) {
            for (int j = 0; j <= b.length(); j++) {
                if (i == 0 || j == 0) {
                    d[i][j] = i + j;
                    continue;
                }
                int same = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                d[i][j] = Math.min(d[i - 1][j - 1] + same, Math.min(d[i - 1][j], d[i][j - 1]) + 1);
                if (i > 1 && j > 1 && a.charAt(i - 1) == b.charAt(j - 2) && a.charAt(i - 2) == b.charAt(j - 1)) {
                    d[i][j] = Math.min(d[i][j], d[i - 2][j - 2] + 1);
                }
            }
        }
        return d[a.length()][b.length()];
    }
}
