package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CarpHashTest {
    @Test
    void equalWeightsGiveEqualMultipliers() {
        for (float x : CarpHash.multipliers(new float[] {2, 2, 2, 2})) {
            assertThat(x).isCloseTo(1f, within(1e-6f));
        }
    }

    /** Two members with shares 0.4 and 0.6: X1 = sqrt(0.8), X2 = 0.2/X1 + X1, calculated by hand. */
    @Test
    void multipliersOfTwo() {
        float[] x = CarpHash.multipliers(new float[] {6, 4});
        assertThat(x[1]).isCloseTo(0.894427f, within(1e-6f));
        assertThat(x[0]).isCloseTo(1.118034f, within(1e-6f));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 140, 700})
    void multipliersStayFiniteAndOrdered(int n) {
        float[] w = new float[n];
        for (int i = 0; i < n; i++) {
            w[i] = 1 + i % 3;
        }
        float[] x = CarpHash.multipliers(w);
        for (int i = 0; i < n; i++) {
            assertThat(x[i]).isFinite().isPositive();
            if (i > 0 && w[i] > w[i - 1]) {
                assertThat(x[i]).isGreaterThan(x[i - 1]);
            }
        }
    }

    /** Hashes of the text forms of a key and an id and their combination, calculated independently of this code. */
    @Test
    void hashesAreThoseOfTheDraft() {
        assertThat(CarpHash.keyHash(0xCAFEL)).isEqualTo(0x37D7FBC8);
        assertThat(CarpHash.endpointHash(0xF211902C)).isEqualTo(0xAD011C39);
        assertThat(CarpHash.combine(0x12345678, 0x9ABCDEF0)).isEqualTo(0xF3C285C6);
    }

    /** Shares match unequal weights within five standard deviations of a random draw, plus 15% for the hash itself. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 12, 60, 300})
    void sharesFollowWeights(int n) {
        float[] w = new float[n];
        int[] hash = new int[n];
        double sum = 0;
        for (int i = 0; i < n; i++) {
            w[i] = 1 + i % 3;
            sum += w[i];
            hash[i] = CarpHash.endpointHash((i + 1) * 0x9E3779B1);
        }
        int[] got = draw(hash, CarpHash.multipliers(w), KEYS);
        for (int i = 0; i < n; i++) {
            double fair = KEYS * w[i] / sum;
            assertThat((double) got[i]).isCloseTo(fair, within(0.15 * fair + 5 * Math.sqrt(fair)));
        }
    }

    private static final int KEYS = 60000;

    private static int[] draw(int[] hash, float[] x, int keys) {
        int[] got = new int[hash.length];
        for (int k = 1; k <= keys; k++) {
            got[top(k * 0x9E3779B97F4A7C15L, hash, x)]++;
        }
        return got;
    }

    private static int top(long key, int[] hash, float[] x) {
        int best = 0;
        for (int i = 1; i < hash.length; i++) {
            int u = CarpHash.keyHash(key);
            if (CarpHash.score(u, hash[i], x[i]) > CarpHash.score(u, hash[best], x[best])) {
                best = i;
            }
        }
        return best;
    }

    @Test
    void aDepartingServerOfAnEqualFleetMovesOnlyItsKeys() {
        int[] all = new int[20];
        for (int i = 0; i < all.length; i++) {
            all[i] = CarpHash.endpointHash(i + 1);
        }
        int[] less = java.util.Arrays.copyOf(all, 19);
        float[] one = new float[20];
        java.util.Arrays.fill(one, 1);
        for (int k = 1; k < 3000; k++) {
            int before = top(k, all, one);
            if (before != 19) {
                assertThat(top(k, less, one)).isEqualTo(before);
            }
        }
    }

    private static float[] unequal(int n, java.util.SplittableRandom random) {
        float[] w = new float[n];
        for (int i = 0; i < n; i++) {
            w[i] = (float) Math.pow(10, 3 * random.nextDouble() - 2); // 0.01 to 10
        }
        return w;
    }

    /**
     * The shares that result from the multipliers, calculated in double with logarithms, as the products would exceed
     * the range of a float. In the interval between two consecutive multipliers, all members from the greater one
     * upwards win equally; a member's share is the sum over the intervals up to its own multiplier.
     */
    private static double[] shares(float[] x) {
        int n = x.length;
        Integer[] order = new Integer[n];
        java.util.Arrays.setAll(order, i -> i);
        java.util.Arrays.sort(order, (a, b) -> Float.compare(x[a], x[b]));
        double[] logFrom = new double[n + 1];
        for (int i = n - 1; i >= 0; i--) {
            logFrom[i] = logFrom[i + 1] + Math.log(x[order[i]]);
        }
        double[] shares = new double[n];
        double won = 0;
        for (int i = 0; i < n; i++) {
            int power = n - i;
            double to = Math.exp(power * Math.log(x[order[i]]) - logFrom[i]);
            double from = i == 0 ? 0 : Math.exp(power * Math.log(x[order[i - 1]]) - logFrom[i]);
            won += (to - from) / power;
            shares[order[i]] = won;
        }
        return shares;
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 1024, 4096})
    void multipliersOfManyUnequalMembersGiveTheirShares(int n) {
        float[] w = unequal(n, new java.util.SplittableRandom(n));
        w[n / 2] = 1e-30f;
        w[n - 1] = 1000;
        double sum = 0;
        for (float each : w) {
            sum += each;
        }
        double[] shares = shares(CarpHash.multipliers(w));
        for (int i = 0; i < n; i++) {
            assertThat(shares[i] * n).as("member %d", i).isCloseTo(w[i] / sum * n, within(2e-3));
        }
    }
}
