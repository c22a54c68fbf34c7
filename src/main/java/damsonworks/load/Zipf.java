package damsonworks.load;

import java.util.Arrays;

/** Ranks drawn by Zipf's law: rank {@code r} (from 0) with a weight of {@code 1 / (r + 1)^exponent}. */
final class Zipf {
    /** The most ranks; a table of them is 8 MB. */
    static final int MAX_RANKS = 1_000_000;

    private final double[] upTo;

    Zipf(int ranks, double exponent) {
        if (ranks < 1 || ranks > MAX_RANKS || !(exponent >= 0 && exponent <= 5)) {
            throw new IllegalArgumentException(ranks + " keys with an exponent of " + exponent
                    + "; it takes 1 to " + MAX_RANKS + " keys and an exponent of 0 to 5");
        }
        upTo = new double[ranks];
        double sum = 0;
        for (int i = 0; i < ranks; i++) {
            sum += Math.pow(i + 1, -exponent);
            upTo[i] = sum;
        }
    }

    /** The rank for a draw from 0 to 1. */
    int rank(double draw) {
        int at = Arrays.binarySearch(upTo, draw * upTo[upTo.length - 1]);
        return Math.min(upTo.length - 1, at < 0 ? -at - 1 : at);
    }
}
