package cacheproxy.routing;

import java.util.Arrays;

/**
 * The hash functions of CARP v1.0 (draft-vinod-carp-v1-03, sections 3.1 to 3.4). All instances compute the same results
 * from the same keys, ids and weights. A hash is an unsigned 32-bit value in an int.
 */
public final class CarpHash {
    /** The multiplier of the draft, sections 3.1 and 3.2. */
    private static final int MULTIPLIER = 0x62531965;

    private static final int ROTATION = 21;
    private static final double UNSIGNED_RANGE = 4294967296.0;
    /** The finalizer of MurmurHash3, applied to a multiplicative hash with the golden ratio. */
    private static final int MURMUR_FINALIZER_1 = 0x85EBCA6B;

    private static final int MURMUR_FINALIZER_2 = 0xC2B2AE35;
    private static final int GOLDEN_RATIO = 0x9E3779B1;
    private static final int KEY_DIGITS = 16;
    private static final int ID_DIGITS = 8;

    private CarpHash() {}

    /** The hash of a key (section 3.1), over its text form: 16 lower-case hexadecimal digits. */
    public static int keyHash(long key) {
        return textHash(key, KEY_DIGITS);
    }

    /** The hash of a member's id (section 3.1), over its text form: 8 lower-case hexadecimal digits. */
    public static int endpointHash(int id) {
        return mix(textHash(Integer.toUnsignedLong(id), ID_DIGITS));
    }

    private static int textHash(long value, int digits) {
        int h = 0;
        for (int shift = 4 * (digits - 1); shift >= 0; shift -= 4) {
            h += Integer.rotateLeft(h, 19) + Character.forDigit((int) (value >>> shift) & 15, 16);
        }
        return h;
    }

    private static int mix(int h) {
        return Integer.rotateLeft(h + h * MULTIPLIER, ROTATION);
    }

    /**
     * The combination of both hashes (section 3.2). Deviates from the draft by applying its two steps twice. After one
     * pass the top ten bits depend on only ten bits of the XOR, so keys fall into 1,024 groups, and in a fleet of 120
     * equal members one gets 2.2 times its share; after a second pass the distribution is as even as a random one.
     */
    public static int combine(int keyHash, int memberHash) {
        return mix(mix(keyHash ^ memberHash));
    }

    /**
     * The score of a member for a key (sections 3.3 and 3.4); the highest gets the request.
     *
     * @param multiplier the member's load factor multiplier, from {@link #multipliers}
     */
    public static double score(int keyHash, int memberHash, float multiplier) {
        return (combine(keyHash, memberHash) & 0xFFFFFFFFL) * (double) multiplier;
    }

    /**
     * The load factor multipliers of members (section 3.3). The running product is kept as a logarithm, as it would
     * underflow for hundreds of members; negative rounding errors are clamped to 0.
     *
     * @param weights 0 or more, finite; treated as equal if their sum is 0
     * @return the multipliers, in the order of the weights
     */
    public static float[] multipliers(float[] weights) {
        int count = weights.length;
        double sum = 0;
        for (float weight : weights) {
            sum += weight;
        }
        Integer[] ascending = ascending(weights);
        float[] multipliers = new float[count];
        double previousShare = 0;
        double logProduct = 0;
        double logMultiplier = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < count; i++) {
            int remaining = count - i;
            double share = sum > 0 ? weights[ascending[i]] / sum : 1.0 / count;
            double step = remaining * Math.max(0, share - previousShare);
            double power = (step > 0 ? Math.exp(Math.log(step) - logProduct) : 0) + Math.exp(remaining * logMultiplier);
            logMultiplier = Math.log(power) / remaining;
            multipliers[ascending[i]] = (float) Math.exp(logMultiplier);
            if (power > 0) {
                logProduct += logMultiplier;
            }
            previousShare = share;
        }
        return multipliers;
    }

    /** The indices of the weights in ascending order of weight. */
    private static Integer[] ascending(float[] weights) {
        Integer[] order = new Integer[weights.length];
        for (int i = 0; i < order.length; i++) {
            order[i] = i;
        }
        Arrays.sort(order, (a, b) -> Float.compare(weights[a], weights[b]));
        return order;
    }

    /**
     * A pseudo-random number of key and member, 0 or more and below 1, independent of their score and the same at all
     * instances. Used to select a fixed fraction of the keys.
     */
    public static double keyFraction(int keyHash, int memberHash) {
        int h = keyHash * GOLDEN_RATIO + memberHash;
        h = (h ^ (h >>> 16)) * MURMUR_FINALIZER_1;
        h = (h ^ (h >>> 13)) * MURMUR_FINALIZER_2;
        return ((h ^ (h >>> 16)) & 0xFFFFFFFFL) / UNSIGNED_RANGE;
    }
}
