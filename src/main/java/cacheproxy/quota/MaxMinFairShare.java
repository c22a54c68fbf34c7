package cacheproxy.quota;

/**
 * Divides a rate by weight: nobody gets more than demanded, and what one does not demand goes to the others (weighted
 * max-min fairness; Demers, Keshav and Shenker, 1989).
 */
final class MaxMinFairShare {
    /** Rates and weights below these are taken for rounding errors. */
    private static final double MIN_RATE = 1e-9;

    private static final double MIN_WEIGHT = 1e-12;

    private MaxMinFairShare() {}

    /**
     * Divides {@code available} among the first {@code count}. Neither gives more than that in all, nor leaves any
     * while a demand is not met.
     *
     * @param available negative counts as 0
     * @param shares takes the result
     * @return what is left over, 0 or more
     */
    static double share(double available, double[] demands, double[] weights, double[] shares, int count) {
        double remaining = Math.max(0, available);
        double totalWeight = 0;
        for (int i = 0; i < count; i++) {
            shares[i] = 0;
            totalWeight += demands[i] > 0 ? weights[i] : 0;
        }
        // In each round a demand is met, or all is given away.
        while (remaining > MIN_RATE && totalWeight > MIN_WEIGHT) {
            double perWeight = remaining / totalWeight;
            double unmetWeight = 0;
            for (int i = 0; i < count; i++) {
                double unmet = demands[i] - shares[i];
                if (unmet <= 0) {
                    continue;
                }
                double part = Math.min(unmet, perWeight * weights[i]);
                shares[i] = part == unmet ? demands[i] : shares[i] + part;
                remaining -= part;
                unmetWeight += part == unmet ? 0 : weights[i];
            }
            if (unmetWeight == totalWeight) {
                break;
            }
            totalWeight = unmetWeight;
        }
        return Math.max(0, remaining);
    }
}
