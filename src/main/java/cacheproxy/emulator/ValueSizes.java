package cacheproxy.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The distribution of value lengths: a default length, and shares of all keys that have other lengths. The length is a
 * function of the key, so that every node and the origin return the same length for it.
 *
 * @param usual the default length in bytes, 0 to 4 MiB
 * @param large shares of all keys with other lengths; their sum is at most 1
 */
public record ValueSizes(int usual, List<Part> large) {
    /** The protocol's maximum value length, in bytes. */
    public static final int MAX = 4 << 20;

    /** A share of all keys, above 0 and at most 1, and the length of their values in bytes. */
    public record Part(int bytes, double share) {}

    /** Checks the ranges. */
    public ValueSizes {
        large = List.copyOf(large);
        double sum = 0;
        for (Part p : large) {
            check(p.bytes());
            sum += p.share();
            if (!(p.share() > 0)) {
                throw new IllegalArgumentException("a share of " + p.share() + "; it is above 0 and 1 at most");
            }
        }
        check(usual);
        if (sum > 1 + 1e-9) {
            throw new IllegalArgumentException("shares of values add up to " + sum + "; 1 at most");
        }
    }

    private static void check(int bytes) {
        if (bytes < 0 || bytes > MAX) {
            throw new IllegalArgumentException("values of " + bytes + " bytes; they have 0 to 4 MiB");
        }
    }

    /** All values have the same length. */
    public static ValueSizes of(int bytes) {
        return new ValueSizes(bytes, List.of());
    }

    /**
     * Parses a distribution such as {@code 4mb:0.05,64kb:0.1}; an IllegalArgumentException names the invalid part and
     * gives an example.
     *
     * @param usual the length for all other keys, in bytes
     */
    public static ValueSizes parse(String text, int usual) {
        List<Part> parts = new ArrayList<>();
        for (String word : text.isEmpty() ? new String[0] : text.split(",", -1)) {
            String[] halves = word.split(":", -1);
            if (halves.length != 2 || !halves[1].matches("\\d(\\.\\d{1,6})?")) {
                throw new IllegalArgumentException("'" + word + "' is no SIZE:SHARE; try 4mb:0.05");
            }
            parts.add(new Part(bytes(halves[0]), Double.parseDouble(halves[1])));
        }
        return new ValueSizes(usual, parts);
    }

    private static int bytes(String word) {
        String size = word.toLowerCase(Locale.ROOT);
        if (!size.matches("\\d{1,7}(b|kb|mb)")) {
            throw new IllegalArgumentException("'" + word + "' is no size; name the unit: 400b, 64kb or 4mb");
        }
        long number = Long.parseLong(size.replaceFirst("[a-z]+$", ""));
        long bytes = size.endsWith("mb") ? number << 20 : size.endsWith("kb") ? number << 10 : number;
        if (bytes > MAX) {
            throw new IllegalArgumentException("'" + word + "' is more than 4mb, the longest value there is");
        }
        return (int) bytes;
    }

    /** The length of this key's values, in bytes. */
    public int bytesOf(String key) {
        if (large.isEmpty()) {
            return usual;
        }
        double lot = (Keys.mix(key.hashCode() * 0x9e3779b97f4a7c15L) >>> 11) * 0x1.0p-53;
        for (Part p : large) {
            if (lot < p.share()) {
                return p.bytes();
            }
            lot -= p.share();
        }
        return usual;
    }
}
