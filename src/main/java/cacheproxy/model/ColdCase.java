package cacheproxy.model;

import cacheproxy.model.FleetDraw.Traffic;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Conditions that coincide with cold starts of nodes. In each case some of the nodes are replaced, stop responding for
 * a while, or crash and restart at once; the seed decides which. Values are drawn from the ranges that the operators
 * state for their sites.
 */
public enum ColdCase {
    /** Cold starts alone. */
    PLAIN("nothing else"),
    /** Key popularity as skewed as the operators see it. */
    KEYS("keys by Zipf's law with an exponent of 1.1 to 1.2") {
        @Override
        Traffic traffic(SplittableRandom r) {
            return new Traffic(
                    1.1 + 0.1 * r.nextDouble(),
                    0.5 + 2 * r.nextDouble(),
                    Traffic.USUAL.busyOneIn(),
                    Traffic.USUAL.busyTimes(),
                    true);
        }
    },
    /** One key receives a large share of the reads. */
    HOT_KEY("one key has 3 to 25% of the reads") {
        @Override
        void plan(FleetPlay p) {
            double part = 0.03 + 0.22 * p.random().nextDouble();
            p.at(HOT_FROM, () -> p.clients().hot(part));
        }
    },
    /** The request rate rises by half while nodes are cold. */
    BURST("half as much again comes while they are cold") {
        @Override
        void plan(FleetPlay p) {
            p.at(COLD_FROM, () -> p.clients().rate(1.5));
        }
    },
    /** Load near or above capacity, and clients that retry early. */
    REPEATS("a load of 0.8 to 1.1, and clients come again three times as soon") {
        @Override
        double load(SplittableRandom r) {
            return 0.8 + 0.3 * r.nextDouble();
        }

        @Override
        void plan(FleetPlay p) {
            p.at(HOT_FROM, () -> p.clients().restless(0.03, 3));
        }
    },
    /** The same with clients that don't mark their retries. */
    UNMARKED("the same, and repeats are not marked as such") {
        @Override
        double load(SplittableRandom r) {
            return REPEATS.load(r);
        }

        @Override
        Traffic traffic(SplittableRandom r) {
            return new Traffic(
                    Traffic.USUAL.zipf(),
                    Traffic.USUAL.offset(),
                    Traffic.USUAL.busyOneIn(),
                    Traffic.USUAL.busyTimes(),
                    false);
        }

        @Override
        void plan(FleetPlay p) {
            REPEATS.plan(p);
        }
    },
    /** A fifth of the instances have six times the traffic of the others. */
    UNEVEN("a fifth of the instances have six times the others' traffic") {
        @Override
        Traffic traffic(SplittableRandom r) {
            return new Traffic(Traffic.USUAL.zipf(), Traffic.USUAL.offset(), 5, 6, true);
        }
    },
    /** Some instances learn of the starts late. */
    LATE("a tenth to half of the instances are told 1 to 4 s late, and peers tell them nothing") {
        @Override
        void plan(FleetPlay p) {
            int late = (int)
                    Math.ceil(p.draw().instances() * (0.1 + 0.4 * p.random().nextDouble()));
            double ms = 1000 + 3000 * p.random().nextDouble();
            List<Integer> some =
                    p.some(IntStream.range(0, p.draw().instances()).boxed().toList(), late);
            p.at(COLD_FROM, () -> {
                p.discovery().late(some, ms);
                some.forEach(i -> p.instance(i).deaf(true));
            });
        }
    },
    /** All of these conditions at once. */
    ALL("all of these at once") {
        @Override
        double load(SplittableRandom r) {
            return REPEATS.load(r);
        }

        @Override
        Traffic traffic(SplittableRandom r) {
            Traffic keys = KEYS.traffic(r);
            Traffic uneven = UNEVEN.traffic(r);
            return new Traffic(keys.zipf(), keys.offset(), uneven.busyOneIn(), uneven.busyTimes(), false);
        }

        @Override
        void plan(FleetPlay p) {
            List.of(HOT_KEY, BURST, REPEATS, LATE).forEach(c -> c.plan(p));
        }
    };

    /** Duration of a run: it covers the warm-up after the starts. */
    static final double SECONDS = 18;

    private static final double HOT_FROM = 3;
    private static final double COLD_FROM = 7;
    private static final double REPLACED_WITHIN = 3;
    private static final double SILENT_MS = 4000;
    private static final double CRASHED_MS = 300;

    private final String words;

    ColdCase(String words) {
        this.words = words;
    }

    /** Description for tables. */
    public String words() {
        return words;
    }

    double load(SplittableRandom r) {
        return 0.5 + 0.18 * r.nextDouble();
    }

    Traffic traffic(SplittableRandom r) {
        return Traffic.USUAL;
    }

    void plan(FleetPlay p) {}

    /** A run of this case, prepared but not started. */
    FleetPlay play(int instances, int nodes, long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        FleetDraw draw = FleetDraw.of(instances, nodes, seed).withLoad(load(r)).withTraffic(traffic(r));
        FleetPlay p = new FleetPlay(draw, SECONDS);
        plan(p);
        start(p, r);
        return p;
    }

    /** Schedules the cold starts: nodes are replaced, stop responding for a while, or crash and restart. */
    private static void start(FleetPlay p, SplittableRandom r) {
        int way = r.nextInt(3);
        int many = (int) Math.max(1, Math.round(p.draw().nodes() * (0.1 + 0.5 * r.nextDouble())));
        List<NodeModel> some = p.some(p.nodes(), many);
        for (int i = 0; i < many; i++) {
            NodeModel n = some.get(i);
            switch (way) {
                case 0 -> p.at(COLD_FROM + REPLACED_WITHIN * i / many, () -> p.replace(n, 0));
                case 1 -> p.at(COLD_FROM - SILENT_MS / 1000, () -> p.lose(n, SILENT_MS));
                default -> p.at(COLD_FROM, () -> p.crash(n, CRASHED_MS));
            }
        }
    }
}
