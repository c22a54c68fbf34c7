package cacheproxy.load;

import cacheproxy.emulator.Keys;
import cacheproxy.emulator.TrafficClass;
import cacheproxy.emulator.ValueSizes;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Randomly generated traffic: arrivals by rate and shape, classes by their shares, keys by Zipf's law. Key popularity
 * drifts: every {@code keyStaySeconds} the ranks shift by 1% of the key space. The same seed gives the same requests.
 */
public final class SyntheticWorkload implements Workload {
    /** Distribution of the time between arrivals. */
    public enum Arrivals {
        POISSON,
        CONSTANT
    }

    /**
     * The parameters of the traffic.
     *
     * @param rate mean requests per second, above 0
     * @param seconds length of the run, above 0
     * @param keys number of keys
     * @param zipf Zipf exponent of the keys' popularity; 0 for a uniform distribution
     * @param keyStaySeconds interval after which key popularity shifts; 0 for never
     * @param values lengths of written values
     */
    public record Settings(
            double rate,
            double seconds,
            Shape shape,
            Arrivals arrivals,
            int keys,
            double zipf,
            double keyStaySeconds,
            ValueSizes values,
            List<TrafficClass> classes,
            long seed) {
        /** Checks the ranges. */
        public Settings {
            if (!(rate > 0 && rate <= 10_000_000) || !(seconds > 0 && seconds <= 604_800)) {
                throw new IllegalArgumentException(rate + " a second for " + seconds
                        + " s: a rate is above 0 and 10 million at most, a run a week at most");
            }
            if (!(keyStaySeconds >= 0)) {
                throw new IllegalArgumentException("keys stay 0 s or longer");
            }
        }
    }

    /** Integration step, within which the rate is taken as constant. */
    private static final double STEP_S = 0.01;

    private final Settings settings;
    private final SplittableRandom random;
    private final Zipf zipf;
    private final double[] shares;
    private double atS;

    /** Creates a workload that starts at time 0. */
    public SyntheticWorkload(Settings settings) {
        this.settings = settings;
        random = new SplittableRandom(settings.seed());
        zipf = new Zipf(settings.keys(), settings.zipf());
        shares = new double[settings.classes().size()];
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            sum += settings.classes().get(i).share();
            shares[i] = sum;
        }
    }

    @Override
    public Planned next() {
        if (!advance()) {
            return null;
        }
        double draw = random.nextDouble() * shares[shares.length - 1];
        int kind = 0;
        while (shares[kind] <= draw && kind < shares.length - 1) {
            kind++;
        }
        boolean write = settings.classes().get(kind).write();
        String key = key();
        return new Planned(
                (long) (atS * 1e9), kind, key, write, write ? settings.values().bytesOf(key) : 0);
    }

    /** Advances to the next arrival by integrating the rate; returns false at the end of the run. */
    private boolean advance() {
        double owed = settings.arrivals() == Arrivals.CONSTANT ? 1 : -Math.log(1 - random.nextDouble());
        while (atS < settings.seconds()) {
            double rate = settings.rate() * settings.shape().at(atS / settings.seconds());
            double step = Math.min(STEP_S, settings.seconds() - atS);
            if (rate * step >= owed) {
                atS += owed / rate;
                return atS < settings.seconds();
            }
            owed -= rate * step;
            atS += step;
        }
        return false;
    }

    private String key() {
        long rank = zipf.rank(random.nextDouble());
        long moved = settings.keyStaySeconds() == 0
                ? 0
                : ((long) (atS / settings.keyStaySeconds())) * Math.max(1, settings.keys() / 100);
        return Keys.key((rank + moved) % settings.keys());
    }
}
