package cacheproxy.emulator;

/** The key space of a run: key number {@code i} as sixteen hexadecimal digits, uniformly distributed. */
public final class Keys {
    private Keys() {}

    /** Key number {@code i}, identical in every process. */
    public static String key(long i) {
        return hex(mix(i ^ 0x5eed_0f_4b_e7L));
    }

    /** Sixteen lower-case hexadecimal digits. */
    public static String hex(long value) {
        char[] digits = new char[16];
        for (int i = 15; i >= 0; i--, value >>>= 4) {
            digits[i] = Character.forDigit((int) (value & 15), 16);
        }
        return new String(digits);
    }

    /** The finalizer of SplitMix64 (Steele, Lea, Flood 2014): a bijection, so no two numbers share a key. */
    public static long mix(long z) {
        z += 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
