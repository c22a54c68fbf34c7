package cacheproxy.load;

import java.util.Arrays;

/** Zipf distribution of ranks: rank {@code r} (from 0) has the weight {@code 1 / (r + 1 + offset)^exponent}. */
public final class Zipf {
    /** Maximum number of ranks, whose table takes 8 MB. */
    public static final int MAX_RANKS = 1_000_000;

    private final double[] upTo;

    /** {@code ranks}: 1 to {@link #MAX_RANKS}; {@code exponent}: 0 (uniform) to 5. */
    public Zipf(int ranks, double exponent) {
        this(ranks, exponent, 0);
    }

    /** {@code offset}: 0 or more; flattens the head of the distribution (Zipf-Mandelbrot law). */
    public Zipf(int ranks, double exponent, double offset) {
        if (ranks < 1 || ranks > MAX_RANKS || !(exponent >= 0 && exponent <= 5) || !(offset >= 0)) {
            throw new IllegalArgumentException(ranks + " keys with an exponent of " + exponent
                    + ", offset " + offset + "; it takes 1 to " + MAX_RANKS
                    + " keys, an exponent of 0 to 5 and an offset of 0 "
                    + "or more");
        }
        upTo = new double[ranks];
        double sum = 0;
        for (int i = 0; i < ranks; i++) {
            sum += Math.pow(i + 1 + offset, -exponent);
            upTo[i] = sum;
        }
    }

    /** The rank for a random number from 0 to 1. */
    public int rank(double draw) {
        int at = Arrays.binarySearch(upTo, draw * upTo[upTo.length - 1]);
        return Math.min(upTo.length - 1, at < 0 ? -at - 1 : at);
    }
}
