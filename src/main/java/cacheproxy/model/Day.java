package cacheproxy.model;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** Fault scenarios. Seconds count from the start of a run; each run also gets one {@link Trouble} seen at the site. */
public enum Day {
    /** No faults; a burst of 1.5 times the usual traffic, then a shift of traffic between zones. */
    CALM(40, "no fault; a burst of half as much again, traffic shifts between zones") {
        @Override
        void plan(FleetPlay p) {
            p.at(14, () -> p.clients().rate(1.5));
            p.at(20, () -> p.clients().rate(1));
            p.at(26, () -> p.clients().shift(p.random().nextInt(p.draw().zones()), 2));
        }
    },
    /** Rolling replacement of half of the nodes and restart of all instances by tenths; discovery is down for 2 s. */
    ROLL(45, "half of the nodes replaced in steps, all instances restarted by tenths, discovery moves") {
        @Override
        void plan(FleetPlay p) {
            List<NodeModel> half = p.some(p.nodes(), p.draw().nodes() / 2);
            for (int i = 0; i < half.size(); i++) {
                NodeModel n = half.get(i);
                p.at(6 + 28.0 * i / half.size(), () -> p.replace(n, 3500));
            }
            int many = p.draw().instances();
            for (int i = 0; i < many; i++) {
                int instance = i;
                int wave = i * 10 / many;
                p.at(8 + 2.5 * wave, () -> p.restart(instance));
            }
            p.at(20, () -> p.discovery().down(true));
            p.at(22, () -> p.discovery().down(false));
        }
    },
    /** A release: 70% of the instances are killed at once, discovery is overloaded, and one node in eight is faulty. */
    HERD(40, "seven in ten instances killed at once, discovery overbooked, one node in eight bad") {
        @Override
        void plan(FleetPlay p) {
            bad(p, 0.5);
            double lines = p.draw().lines();
            p.at(10, () -> {
                p.discovery().capacity(lines / 4);
                p.some(IntStream.range(0, p.draw().instances()).boxed().toList(), (int)
                                Math.round(0.7 * p.draw().instances()))
                        .forEach(p::kill);
            });
            p.at(28, () -> p.discovery().capacity(lines));
        }
    },
    /** A zone fails for 5 s and returns cold; later another is partitioned for 6 s; one node in eight is faulty. */
    ZONE(45, "a zone lost for 5 s and back cold, then a zone cut off, one node in eight bad") {
        @Override
        void plan(FleetPlay p) {
            bad(p, 0.3);
            int lost = p.random().nextInt(p.draw().zones());
            int cut = (lost + 1) % p.draw().zones();
            p.at(10, () -> p.nodes().stream().filter(n -> n.zone == lost).forEach(n -> p.lose(n, 5000)));
            p.at(26, () -> p.network().cut(cut));
            p.at(32, () -> p.network().cut(-1));
        }
    },
    /**
     * For 6 s a zone is partitioned or a fifth of the nodes stop responding; meanwhile half of the instances get the
     * endpoint list late, peers receive no messages, 1% of the responses are lost and connections are reset.
     */
    SPLIT(40, "for 6 s a zone cut off or a fifth of the nodes silent, late lists, deaf peers, lost answers, resets") {
        @Override
        void plan(FleetPlay p) {
            SplittableRandom r = p.random();
            boolean zone = r.nextBoolean();
            int cut = r.nextInt(p.draw().zones());
            List<NodeModel> silent = p.some(p.nodes(), p.draw().nodes() / 5);
            List<Integer> half = p.some(
                    IntStream.range(0, p.draw().instances()).boxed().toList(),
                    p.draw().instances() / 2);
            p.at(12, () -> {
                if (zone) {
                    p.network().cut(cut);
                } else {
                    silent.forEach(n -> n.silent(true));
                }
                p.discovery().late(half, 3000);
                for (int i = 0; i < p.draw().instances(); i++) {
                    p.instance(i).deaf(true);
                }
                p.network().lose(0.01);
            });
            for (int i = 0; i < 12; i++) {
                p.at(12 + i * 0.5, () -> p.nodes().forEach(n -> n.reset(0.01)));
            }
            p.at(18, () -> {
                p.network().cut(-1);
                silent.forEach(n -> n.silent(false));
                p.discovery().late(List.of(), 0);
                for (int i = 0; i < p.draw().instances(); i++) {
                    p.instance(i).deaf(false);
                }
                p.network().lose(0);
            });
        }
    },
    /** 60% of the nodes are replaced within 7 s; some clients give up early, and all retry three times as soon. */
    JOIN(40, "six in ten nodes replaced within 7 s, clients that leave early or come again too soon") {
        @Override
        void plan(FleetPlay p) {
            List<NodeModel> most = p.some(p.nodes(), p.draw().nodes() * 6 / 10);
            for (int i = 0; i < most.size(); i++) {
                NodeModel n = most.get(i);
                p.at(10 + 7.0 * i / most.size(), () -> p.replace(n, 0));
            }
            p.at(5, () -> p.clients().restless(0.03, 3));
        }
    },
    /** Soak test: a node is replaced every 3 s and an instance killed every minute, for as long as requested. */
    SOAK(240, "a node replaced every 3 s and an instance killed every minute, for as long as --for says") {
        @Override
        void plan(FleetPlay p) {
            soak(p, 1);
        }

        private void soak(FleetPlay p, int step) {
            if (step * 3 < p.seconds() - 6) {
                p.at(step * 3.0, () -> {
                    p.replace(p.some(p.nodes(), 1).get(0), 2500);
                    if (step % 20 == 0) {
                        p.kill(p.random().nextInt(p.draw().instances()));
                    }
                    soak(p, step + 1);
                });
            }
        }
    };

    private final double seconds;
    private final String words;

    Day(double seconds, String words) {
        this.seconds = seconds;
        this.words = words;
    }

    /** Default duration in seconds. */
    public double seconds() {
        return seconds;
    }

    /** Description for people. */
    public String words() {
        return words;
    }

    abstract void plan(FleetPlay p);

    /** A run of this scenario, prepared but not started. */
    public FleetPlay play(FleetDraw draw, double seconds) {
        FleetPlay p = new FleetPlay(draw, seconds);
        arrange(p);
        return p;
    }

    /** Schedules the scenario's faults and one site trouble. */
    void arrange(FleetPlay p) {
        plan(p);
        Trouble.of(p.random()).plan(p);
    }

    /** Makes one node in eight faulty for the whole run: half of them slow, half failing this share of requests. */
    private static void bad(FleetPlay p, double errors) {
        List<NodeModel> some = p.some(p.nodes(), p.draw().nodes() / 8);
        for (int i = 0; i < some.size(); i++) {
            if (i % 2 == 0) {
                some.get(i).bad(errors, 1);
            } else {
                some.get(i).bad(0, 3);
            }
        }
    }
}
