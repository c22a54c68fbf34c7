package cacheproxy.recovery;

import java.util.Collection;

/**
 * Whether this instance carries more than its part, and how many of its clients' connections it should end between
 * requests so that they are dealt anew. The first one back after a release gets all clients and keeps them, as these
 * keep their connections; who deals connections can't be told to take some back, but a connection that ends is dealt
 * again, now that others are there.
 *
 * <p>It ends few at a time, and looks at what comes of it: where what it ends comes back to it (its clients sit beside
 * it, or one caller asks for a tenth of all), ending more does nobody any good, and it leaves them alone for a time
 * that doubles.
 */
public final class ConnectionRebalancer {
    /** From so many times the mean on it sheds. */
    public static final double MORE = 1.3;
    /** Down to so many times the mean. */
    public static final double ENOUGH = 1.1;
    /** Requests a second beyond the mean that are worth a connection. */
    static final double WORTH = 3;
    /** What is seen of rates is so old at most; it has to be more for this long before anything is ended. */
    static final double SEEN_MS = 1000;
    /** Of those that should go, so many a second: from sixty times the mean to one and a half in ten seconds. */
    static final double PACE = 0.6;
    /** What has come of it is looked at after so long. */
    static final double LOOK_MS = 4000;
    /** Of what was to go, so much at least has to have gone. */
    static final double GAIN = 0.2;

    static final double FIRST_PAUSE_MS = 30_000;
    static final double LONGEST_PAUSE_MS = 600_000;

    private double moreSinceMs = Double.NaN;
    private double lastMs = Double.NaN;
    private double due;
    private double lookMs = Double.NaN;
    private double lookTimes;
    private int lookEnded;
    private double pauseMs = FIRST_PAUSE_MS;
    private double pausedUntilMs = Double.NEGATIVE_INFINITY;
    private long ended;
    private double times = 1;

    /**
     * How many connections to end now. Some times a second.
     *
     * @param mine requests a second that this instance is asked
     * @param others those of the other instances that serve; empty for nobody to take any
     * @param open connections of its clients
     * @param idle of these, between requests
     */
    public int tick(double nowMs, double mine, Collection<Double> others, int open, int idle) {
        double passedMs = Double.isNaN(lastMs) ? 0 : Math.max(0, Math.min(SEEN_MS, nowMs - lastMs));
        lastMs = nowMs;
        double mean = (mine + others.stream().mapToDouble(Double::doubleValue).sum()) / (1 + others.size());
        times = mean > 0 ? mine / mean : 1;
        boolean shedding = lookEnded > 0;
        boolean more = !others.isEmpty() && mine - mean >= WORTH && times > (shedding ? ENOUGH : MORE);
        if (!more) {
            moreSinceMs = Double.NaN;
            due = 0;
            if (shedding && times <= ENOUGH) {
                pauseMs = FIRST_PAUSE_MS; // it did good
                restart(nowMs);
            }
            return 0;
        }
        moreSinceMs = Double.isNaN(moreSinceMs) ? nowMs : moreSinceMs;
        if (nowMs < pausedUntilMs || nowMs - moreSinceMs < SEEN_MS) {
            return 0;
        }
        if (lookEnded == 0) {
            lookMs = nowMs;
            lookTimes = times;
        } else if (nowMs - lookMs >= LOOK_MS) {
            if (lookTimes - times < GAIN * (lookTimes - 1)) {
                pausedUntilMs = nowMs + pauseMs;
                pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * pauseMs);
                restart(nowMs);
                return 0;
            }
            restart(nowMs);
        }
        due += open * (1 - 1 / times) * PACE * passedMs / 1000;
        int now = (int) Math.min(idle, due);
        due = Math.min(due - now, Math.max(1, open * PACE)); // what found nobody idle is not made up for at once
        lookEnded += now;
        ended += now;
        return now;
    }

    private void restart(double nowMs) {
        lookEnded = 0;
        lookMs = nowMs;
        lookTimes = times;
    }

    /** What this instance is asked, by the mean of those that serve. */
    public double times() {
        return times;
    }

    /** Connections that it has said to end. */
    public long ended() {
        return ended;
    }

    /** Whether it leaves them alone, as ending them did no good. */
    public boolean paused(double nowMs) {
        return nowMs < pausedUntilMs;
    }
}
