package cacheproxy.model;

import java.util.List;
import java.util.SplittableRandom;

/** Disturbances that the operators see at their site; each run gets one of them from its fifth second. */
enum Trouble {
    /** 10 to 41% of the nodes pause for 62 to 160 ms every 2.5 s. */
    PAUSES {
        @Override
        void plan(FleetPlay p) {
            double part = 0.1 + 0.31 * p.random().nextDouble();
            List<NodeModel> some = p.some(p.nodes(), (int) (part * p.draw().nodes()));
            for (double second = FROM; second < FROM + SPAN; second += 2.5) {
                p.at(
                        second,
                        () -> some.forEach(n -> n.pause(62 + 98 * p.random().nextDouble())));
            }
        }
    },
    /** One key receives 3 to 15% of all reads. */
    HOT_KEY {
        @Override
        void plan(FleetPlay p) {
            double part = 0.03 + 0.12 * p.random().nextDouble();
            p.at(FROM, () -> p.clients().hot(part));
            p.at(FROM + SPAN, () -> p.clients().hot(0));
        }
    },
    /** One instance receives 3 to 8% of all traffic. */
    HOT_CALLER {
        @Override
        void plan(FleetPlay p) {
            double part = 0.03 + 0.05 * p.random().nextDouble();
            int instance = p.random().nextInt(p.draw().instances());
            p.at(FROM, () -> p.clients().crowd(instance, part));
            p.at(FROM + SPAN, () -> p.clients().crowd(-1, 0));
        }
    },
    /** Discovery is unreachable. */
    DISCOVERY_DOWN {
        @Override
        void plan(FleetPlay p) {
            p.at(FROM, () -> p.discovery().down(true));
            p.at(FROM + SPAN, () -> p.discovery().down(false));
        }
    };

    private static final double FROM = 5;
    private static final double SPAN = 12;

    abstract void plan(FleetPlay p);

    static Trouble of(SplittableRandom random) {
        return values()[random.nextInt(values().length)];
    }
}
