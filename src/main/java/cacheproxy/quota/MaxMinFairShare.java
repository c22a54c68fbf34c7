package cacheproxy.quota;

/**
 * Who gets what of a rate that is free: by weight, nobody more than wanted, and what one leaves goes to the others
 * (weighted max-min fair; Demers, Keshav and Shenker, 1989).
 */
final class MaxMinFairShare {
    private MaxMinFairShare() {}

    /**
     * Fills {@code given} for the first {@code many}, whose wishes are in {@code wants}. Neither gives more than
     * {@code free} in all nor leaves any while somebody wants more. Returns what is left, 0 or more.
     */
    static double share(double free, double[] wants, double[] weights, double[] given, int many) {
        double left = Math.max(0, free);
        double weight = 0;
        for (int i = 0; i < many; i++) {
            given[i] = 0;
            weight += wants[i] > 0 ? weights[i] : 0;
        }
        // At each round somebody has all that was wanted, or all is given away.
        while (left > 1e-9 && weight > 1e-12) {
            double each = left / weight;
            double next = 0;
            for (int i = 0; i < many; i++) {
                double open = wants[i] - given[i];
                if (open <= 0) {
                    continue;
                }
                double part = Math.min(open, each * weights[i]);
                given[i] = part == open ? wants[i] : given[i] + part;
                left -= part;
                next += part == open ? 0 : weights[i];
            }
            if (next == weight) {
                break;
            }
            weight = next;
        }
        return Math.max(0, left);
    }
}
