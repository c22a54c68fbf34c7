package cacheproxy.model;

/**
 * Counts by the second. Seconds are those of the run, from 0; what comes before or after it goes to the first or last.
 */
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

    /** How many seconds are told apart. */
    public int seconds() {
        return counts[0].length;
    }

    /** What was counted in that second. */
    public double at(int second, Figure figure) {
        return counts[figure.ordinal()][second];
    }

    /** What was counted in all. */
    public double total(Figure figure) {
        return total(figure, 0, seconds());
    }

    /** What was counted from one second to before another. */
    public double total(Figure figure, int from, int until) {
        double sum = 0;
        for (int s = Math.max(0, from); s < Math.min(seconds(), until); s++) {
            sum += at(s, figure);
        }
        return sum;
    }

    /** The part of the worth that was earned; 1 where none was asked for. */
    public double worth() {
        double asked = total(Figure.WORTH_ASKED);
        return asked == 0 ? 1 : total(Figure.WORTH_EARNED) / asked;
    }

    /** The least part of the worth that was earned in so many seconds on end. */
    public double worstWorth(int span) {
        double worst = worth();
        for (int s = 0; s + span <= seconds(); s++) {
            double asked = total(Figure.WORTH_ASKED, s, s + span);
            worst = asked == 0 ? worst : Math.min(worst, total(Figure.WORTH_EARNED, s, s + span) / asked);
        }
        return worst;
    }
}
