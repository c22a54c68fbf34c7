package cacheproxy.routing;

/** The pure functions of CARP v1.0 (draft-vinod-carp-v1-03, sections 3.1 to 3.4) as our design fixes them. */
public final class CarpHash {
    private static final int SPREAD = 0x62531965;
    private static final double UNSIGNED = 4294967296.0;

    private CarpHash() {}

    /** Draft 3.1 over the key's text form: 16 lower-case hexadecimal digits. */
    public static int keyHash(long key) {
        return textHash(key, 16);
    }

    /** Draft 3.1 for members over the id's text form: 8 lower-case hexadecimal digits. */
    public static int endpointHash(int id) {
        return spread(textHash(Integer.toUnsignedLong(id), 8));
    }

    private static int textHash(long value, int digits) {
        int h = 0;
        for (int shift = 4 * (digits - 1); shift >= 0; shift -= 4) {
            h += Integer.rotateLeft(h, 19) + Character.forDigit((int) (value >>> shift) & 15, 16);
        }
        return h;
    }

    private static int spread(int h) {
        return Integer.rotateLeft(h + h * SPREAD, 21);
    }

    /**
     * Draft 3.2: both hashes combined, to be read as unsigned. Departure, always on: the draft's two steps run once
     * more. After one pass the top ten bits hang on ten bits of the XOR alone, so keys fall into 1,024 lots and in a
     * fleet of 120 equal members one gets 2.2 times its share; a second pass spreads them as evenly as chance.
     */
    public static int combine(int keyHash, int memberHash) {
        return spread(spread(keyHash ^ memberHash));
    }

    /** Draft 3.3 and 3.4: the score of a member for a key. */
    public static double score(int keyHash, int memberHash, float multiplier) {
        return (combine(keyHash, memberHash) & 0xFFFFFFFFL) * (double) multiplier;
    }

    /**
     * Draft 3.3: the load factor multipliers, in the order of the weights. The running product is kept as a logarithm,
     * so hundreds of members do not underflow; rounding below zero is clamped. All weights zero: equal.
     */
    public static float[] multipliers(float[] weights) {
        int n = weights.length;
        double sum = 0;
        for (float w : weights) {
            sum += w;
        }
        Integer[] order = new Integer[n];
        for (int i = 0; i < n; i++) {
            order[i] = i;
        }
        java.util.Arrays.sort(order, (a, b) -> Float.compare(weights[a], weights[b]));
        float[] x = new float[n];
        double previousShare = 0;
        double logProduct = 0;
        double logX = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < n; i++) {
            int left = n - i;
            double share = sum > 0 ? weights[order[i]] / sum : 1.0 / n;
            double step = left * Math.max(0, share - previousShare);
            double power = (step > 0 ? Math.exp(Math.log(step) - logProduct) : 0) + Math.exp(left * logX);
            logX = Math.log(power) / left;
            x[order[i]] = (float) Math.exp(logX);
            if (power > 0) {
                logProduct += logX;
            }
            previousShare = share;
        }
        return x;
    }

    /** A number in [0, 1) from key and member, independent of their score: decides who of a key's ranks waits. */
    public static double keyFraction(int keyHash, int memberHash) {
        int h = keyHash * 0x9E3779B1 + memberHash;
        h = (h ^ (h >>> 16)) * 0x85EBCA6B;
        h = (h ^ (h >>> 13)) * 0xC2B2AE35;
        return ((h ^ (h >>> 16)) & 0xFFFFFFFFL) / UNSIGNED;
    }
}
