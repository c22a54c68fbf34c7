package cacheproxy.model;

/** Counters per second of a run, from 0. Events before or after the run count in the first or last second. */
public final class Tally {
    private final double startMs;
    private final double[][] counts;

    Tally(double startMs, int seconds) {
        this.startMs = startMs;
        counts = new double[Figure.values().length][Math.max(1, seconds)];
    }

    void add(double now, Figure figure, double much) {
        double[] row = counts[figure.ordinal()];
        row[(int) Math.max(0, Math.min(row.length - 1, (now - startMs) / 1000))] += much;
    }

    void add(double now, Figure figure) {
        add(now, figure, 1);
    }

    /** Number of seconds with counters of their own. */
    public int seconds() {
        return counts[0].length;
    }

    /** The count of one second. */
    public double at(int second, Figure figure) {
        return counts[figure.ordinal()][second];
    }

    /** The count over the whole run. */
    public double total(Figure figure) {
        return total(figure, 0, seconds());
    }

    /** The count from second {@code from} to before {@code until}. */
    public double total(Figure figure, int from, int until) {
        double sum = 0;
        for (int s = Math.max(0, from); s < Math.min(seconds(), until); s++) {
            sum += at(s, figure);
        }
        return sum;
    }

    /** The share of the requested worth that was earned; 1 if none was requested. */
    public double worth() {
        double asked = total(Figure.WORTH_ASKED);
        return asked == 0 ? 1 : total(Figure.WORTH_EARNED) / asked;
    }

    /** The lowest earned share of worth in any {@code span} consecutive seconds. */
    public double worstWorth(int span) {
        double worst = worth();
        for (int s = 0; s + span <= seconds(); s++) {
            double asked = total(Figure.WORTH_ASKED, s, s + span);
            worst = asked == 0 ? worst : Math.min(worst, total(Figure.WORTH_EARNED, s, s + span) / asked);
        }
        return worst;
    }
}
