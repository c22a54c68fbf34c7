package cacheproxy.model;

import cacheproxy.load.Zipf;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.Request;
import cacheproxy.routing.ServiceClass;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The clients and the front layer: open-loop arrivals, distributed unevenly over the instances of a zone, and clients
 * that retry. The worth of a request counts once, in the second of its first try.
 */
final class ClientsModel {
    /** One-way delay between a client and an instance, in milliseconds. */
    private static final double CLIENT_MS = 0.6;

    private static final double BACKOFF_MS = 30;
    /** The share of retries that honour the advised delay. */
    private static final double HONOUR_SHARE = 0.85;
    /**
     * A client without a response leaves this long after its wait, once the rule on late responses has been checked.
     */
    private static final double LEAVE_DELAY_MS = 60;

    private static final int KEYS_PER_NODE = 100;

    private final FleetPlay play;
    private final FleetDraw draw;
    private final SplittableRandom random;
    private final Zipf keys;
    private final int manyKeys;
    private final double[] weights;
    private final double[] zoneWeights;
    private final boolean[] known;
    private double rate = 1;
    private double impatient;
    private double retryTimes = 1;
    private double hotPart;
    private long hotKey;
    private int hotInstance = -1;
    private double hotInstancePart;
    private int nextRequest = 1;

    ClientsModel(FleetPlay play, SplittableRandom random) {
        this.play = play;
        this.random = random;
        draw = play.draw();
        manyKeys = KEYS_PER_NODE * draw.nodes();
        keys = new Zipf(manyKeys, draw.traffic().zipf(), draw.traffic().offset());
        weights = new double[draw.instances()];
        for (int i = 0; i < weights.length; i++) {
            double usual = 0.5 + random.nextDouble();
            boolean busy = random.nextInt(draw.traffic().busyOneIn()) == 0;
            weights[i] = usual * (busy ? draw.traffic().busyTimes() : 1);
        }
        zoneWeights = new double[draw.zones()];
        for (int z = 0; z < zoneWeights.length; z++) {
            zoneWeights[z] = 0.7 + 0.6 * random.nextDouble();
        }
        known = new boolean[draw.instances()];
        Arrays.fill(known, true);
    }

    /** How many of the most popular keys make up this share of all reads. */
    int keysFor(double part) {
        return Math.min(manyKeys, keys.rank(part) + 1);
    }

    // ---- changes of traffic

    /** Multiplies the usual request rate. */
    void rate(double times) {
        rate = times;
    }

    /** Multiplies a zone's share of the traffic. */
    void shift(int zone, double times) {
        zoneWeights[zone] *= times;
    }

    /** This share of clients leave early, and all retry so many times sooner. */
    void restless(double part, double soon) {
        impatient = part;
        retryTimes = soon;
    }

    /** Gives one key this share of the requests, in addition to its usual one. */
    void hot(double part) {
        hotPart = part;
        hotKey = 1L + random.nextInt(manyKeys);
    }

    /** Gives one instance this share of the requests, in addition to its usual one; -1 for none. */
    void crowd(int instance, double part) {
        hotInstance = instance;
        hotInstancePart = part;
    }

    /** The front layer learns whether an instance accepts requests. */
    void front(int instance, boolean takes) {
        known[instance] = takes;
    }

    // ---- arrivals

    void run(double untilMs) {
        if (play.time().now() < untilMs) {
            new Client().come();
            play.time()
                    .after(-Math.log(1 - random.nextDouble()) * 1000 / (draw.perSecond() * rate), () -> run(untilMs));
        }
    }

    private int pick() {
        if (hotInstance >= 0 && random.nextDouble() < hotInstancePart && known[hotInstance]) {
            return hotInstance;
        }
        int zone = weighed(zoneWeights, List.of());
        List<Integer> there = new ArrayList<>();
        for (int i = 0; i < known.length; i++) {
            if (known[i] && i % draw.zones() == zone) {
                there.add(i);
            }
        }
        if (there.isEmpty()) {
            for (int i = 0; i < known.length; i++) {
                if (known[i]) {
                    there.add(i);
                }
            }
        }
        return there.isEmpty() ? -1 : there.get(weighed(weights, there));
    }

    /** Draws an index by weight: into {@code named}, or into all if that is empty. */
    private int weighed(double[] by, List<Integer> named) {
        int many = named.isEmpty() ? by.length : named.size();
        double sum = 0;
        for (int i = 0; i < many; i++) {
            sum += by[named.isEmpty() ? i : named.get(i)];
        }
        double at = random.nextDouble() * sum;
        for (int i = 0; i < many; i++) {
            at -= by[named.isEmpty() ? i : named.get(i)];
            if (at < 0) {
                return i;
            }
        }
        return many - 1;
    }

    /** One client with one request, which it may try several times. */
    private final class Client implements Ask.Client {
        private final double cameMs = play.time().now();
        private final int classIndex = FleetDraw.classOf(random.nextDouble());
        private final ServiceClass kind = FleetDraw.CLASSES.get(classIndex);
        private final boolean write = kind.idempotency() != Idempotency.IDEMPOTENT;
        private final long key =
                hotPart > 0 && random.nextDouble() < hotPart ? hotKey : 1 + keys.rank(random.nextDouble());
        private final double workMs = draw.workMs()
                * (write ? 1.5 : 1)
                * -(Math.log(1 - random.nextDouble()) + Math.log(1 - random.nextDouble()))
                / 2;
        private int tries;
        private Ask open;

        void come() {
            play.tally().add(cameMs, Figure.WORTH_ASKED, kind.priorityWeight());
            play.tally().add(cameMs, Figure.FIRST_TRIES);
            go();
        }

        private void go() {
            tries++;
            int instance = pick();
            if (instance < 0 || !play.instance(instance).takes()) {
                play.tally().add(play.time().now(), Figure.ABANDONED);
                again(0);
                return;
            }
            InstanceModel at = play.instance(instance);
            double wait = draw.tryShare() * kind.timeoutMs();
            int id = nextRequest++;
            play.time().after(CLIENT_MS, () -> {
                if (!at.takes()) {
                    again(0);
                    return;
                }
                Ask ask = new Ask(
                        new Request(
                                id,
                                classIndex,
                                0,
                                key,
                                play.time().now() + wait,
                                Double.NaN,
                                0,
                                write,
                                tries > 1 && draw.traffic().marked()),
                        kind,
                        workMs,
                        tries > 1,
                        this);
                open = ask;
                at.take(ask);
                boolean early = random.nextDouble() < impatient;
                play.time().after(early ? wait * random.nextDouble() : wait + LEAVE_DELAY_MS, () -> {
                    if (open == ask) { // no response: retried only if executing it twice does no harm
                        open = null;
                        at.leave(ask);
                        if (!early && kind.idempotency() != Idempotency.NON_IDEMPOTENT) {
                            again(0);
                        }
                    }
                });
            });
        }

        @Override
        public void answered(Ask ask, Ask.Answer answer, double retryAfterMs) {
            play.time().after(CLIENT_MS, () -> {
                if (open != ask) {
                    return;
                }
                open = null;
                double took = play.time().now() - cameMs;
                if (answer == Ask.Answer.SERVED) {
                    play.tally()
                            .add(
                                    cameMs,
                                    Figure.WORTH_EARNED,
                                    took <= kind.latencyObjectiveMs()
                                            ? kind.priorityWeight()
                                            : took <= kind.timeoutMs()
                                                    ? kind.priorityWeight() * kind.lateValueShare()
                                                    : 0);
                } else if (answer == Ask.Answer.REFUSED || kind.idempotency() != Idempotency.NON_IDEMPOTENT) {
                    again(random.nextDouble() < HONOUR_SHARE ? retryAfterMs : 0);
                }
            });
        }

        private void again(double advisedMs) {
            double backoffMs = BACKOFF_MS * (1 << (tries - 1)) * (0.5 + random.nextDouble());
            double wait = Math.max(advisedMs, backoffMs) / retryTimes;
            if (tries <= draw.retries() && play.time().now() + wait < cameMs + kind.timeoutMs()) {
                play.time().after(wait, this::go);
            }
        }
    }
}
