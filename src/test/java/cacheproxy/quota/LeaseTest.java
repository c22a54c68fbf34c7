package cacheproxy.quota;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.model.VirtualTime;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Instances share one cap, in virtual time, over a network that loses, duplicates, delays and reorders messages. */
class LeaseTest {
    private static final long CAP = 600;
    private static final double WINDOW = 1000;
    private static final double ROUND = 400;
    private static final double REPLIES = 100;

    private static final class Fleet {
        final int size;
        final SplittableRandom random;
        final VirtualTime time = new VirtualTime(10_000);
        final LeaseParticipant[] participants;
        final LeaseHolder[] holders;
        final boolean[] down;
        final int[] incarnation;
        /** The network partition of each instance; messages are delivered only within a partition. */
        final int[] partition;

        final double[] perSecond;
        final List<ArrayDeque<Double>> used = new ArrayList<>();
        final ArrayDeque<Double> all = new ArrayDeque<>();
        final long[] served;
        final long[] requested;
        /** How far the clock of each instance is ahead. */
        final double[] clockOffsetMs;

        double loss;
        /** Which of the next messages between instances are lost, a bit each; negative: random loss. */
        long lossPattern = -1;

        int fullestWindow;

        Fleet(int instances, long seed) {
            this.size = instances;
            random = new SplittableRandom(seed);
            participants = new LeaseParticipant[instances];
            holders = new LeaseHolder[instances];
            down = new boolean[instances];
            incarnation = new int[instances];
            partition = new int[instances];
            perSecond = new double[instances];
            served = new long[instances];
            requested = new long[instances];
            clockOffsetMs = new double[instances];
            for (int i = 0; i < instances; i++) {
                used.add(new ArrayDeque<>());
                clockOffsetMs[i] = random.nextDouble() * 400 - 200;
                start(i);
                after(random.nextDouble() * 5, () -> {});
            }
        }

        double clock(int i) {
            return time.now() + clockOffsetMs[i];
        }

        /**
         * Starts or restarts an instance. Its use before a restart still counts towards the cap, but the new
         * incarnation does not know of it.
         */
        void start(int i) {
            incarnation[i]++;
            down[i] = false;
            used.get(i).clear();
            participants[i] = new LeaseParticipant(CAP / size, WINDOW, clock(i));
            holders[i] = new LeaseHolder(WINDOW, incarnation[i]);
            int mine = incarnation[i];
            after(random.nextDouble() * ROUND, () -> round(i, mine));
            after(random.nextDouble() * 10, () -> request(i, mine));
        }

        void after(double ms, Runnable task) {
            time.after(ms, task);
        }

        /**
         * In production only an instance that knows of no lower-ranked holder starts rounds; here all do, which must be
         * safe.
         */
        void round(int i, int mine) {
            if (down[i] || incarnation[i] != mine) {
                return;
            }
            long round = holders[i].startRound(clock(i));
            for (int to = 0; to < size; to++) {
                int p = to;
                send(i, p, () -> {
                    long in = used(p);
                    LeaseParticipant.Report report = participants[p].onRoundStarted(
                            clock(p), i, round, (long) (perSecond[p] * WINDOW / 1000), in);
                    if (report != null) {
                        send(p, i, () -> holders[i].onReport(p, report));
                    }
                });
            }
            after(REPLIES, () -> {
                if (!down[i] && incarnation[i] == mine) {
                    for (Map.Entry<Integer, LeaseParticipant.Grant> g :
                            holders[i].grants(clock(i)).entrySet()) {
                        send(i, g.getKey(), () -> participants[g.getKey()].onGrant(clock(g.getKey()), i, g.getValue()));
                    }
                }
            });
            after(ROUND, () -> round(i, mine));
        }

        void send(int from, int to, Runnable message) {
            for (int copy = random.nextInt(20) == 0 ? 2 : 1; copy > 0; copy--) {
                if (from == to || !lost()) {
                    // To itself immediately; else after 3 to 30 ms, and a few much later.
                    double ms = from == to
                            ? 0
                            : random.nextInt(50) == 0 ? random.nextDouble() * 6000 : 3 + random.nextDouble() * 27;
                    int mine = incarnation[to];
                    after(ms, () -> {
                        if (!down[to] && incarnation[to] == mine && partition[from] == partition[to]) {
                            message.run();
                        }
                    });
                }
            }
        }

        private boolean lost() {
            if (lossPattern < 0) {
                return random.nextDouble() < loss;
            }
            boolean lost = (lossPattern & 1) != 0;
            lossPattern >>= 1;
            return lost;
        }

        long used(int i) {
            ArrayDeque<Double> mine = used.get(i);
            while (!mine.isEmpty() && mine.peek() <= time.now() - WINDOW) {
                mine.poll();
            }
            return mine.size();
        }

        void request(int i, int mine) {
            if (down[i] || incarnation[i] != mine) {
                return;
            }
            if (perSecond[i] > 0) {
                requested[i]++;
                if (used(i) < participants[i].limit(clock(i))) {
                    served[i]++;
                    used.get(i).add(time.now());
                    all.add(time.now());
                    while (all.peek() <= time.now() - WINDOW) {
                        all.poll();
                    }
                    fullestWindow = Math.max(fullestWindow, all.size());
                }
            }
            after(
                    perSecond[i] > 0 ? -Math.log(1 - random.nextDouble()) * 1000 / perSecond[i] : 20,
                    () -> request(i, mine));
        }

        void advance(double ms) {
            time.passTo(time.now() + ms);
        }

        double servedPerSecond(int i, double ms) {
            long before = served[i];
            advance(ms);
            return (served[i] - before) * 1000 / ms;
        }
    }

    /**
     * Message loss, delays, killed holders, restarts of the same instance, network partitions, and abrupt changes of
     * demand.
     */
    @Property(seed = "1", tries = 150)
    void instancesTogetherNeverExceedTheCapInAnyWindow(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 6) int instances,
            @ForAll @DoubleRange(min = 0, max = 0.7) double loss) {
        Fleet fleet = new Fleet(instances, seed);
        fleet.loss = loss;
        for (int step = 0; step < 40; step++) {
            int i = fleet.random.nextInt(instances);
            switch (fleet.random.nextInt(8)) {
                case 0 -> {
                    fleet.down[i] = true;
                    fleet.after(fleet.random.nextDouble() * 3000, () -> fleet.start(i));
                }
                case 1 -> fleet.partition[i] = fleet.random.nextInt(2);
                case 2 -> Arrays.fill(fleet.partition, 0);
                case 3 -> fleet.perSecond[i] = 0;
                default -> fleet.perSecond[i] = fleet.random.nextDouble() * 10 * CAP;
            }
            fleet.advance(fleet.random.nextDouble() * 1500);
            assertThat(fleet.fullestWindow).as("in the fullest window so far").isLessThanOrEqualTo((int) CAP);
        }
    }

    /**
     * Every loss pattern of ten consecutive messages, while the idle instance gets demand and the other one keeps its
     * own.
     */
    @Test
    void noPatternOfMessageLossExceedsTheCap() {
        for (int pattern = 0; pattern < 1 << 10; pattern++) {
            Fleet fleet = new Fleet(2, 11);
            fleet.perSecond[0] = 10 * CAP;
            fleet.advance(4200);
            fleet.lossPattern = pattern;
            fleet.perSecond[1] = 10 * CAP;
            fleet.advance(2500);
            assertThat(fleet.fullestWindow).as("pattern %x", pattern).isLessThanOrEqualTo((int) CAP);
        }
    }

    /** A restarted holder does not know what it has granted from earlier cessions. */
    @Test
    void aCessionBindsTowardsOneIncarnationOfAHolder() {
        LeaseParticipant participant = new LeaseParticipant(100, WINDOW, 0);
        long first = 1L << LeaseParticipant.INCARNATION_SHIFT;
        long second = 2L << LeaseParticipant.INCARNATION_SHIFT;
        assertThat(participant.onRoundStarted(10_000, 0, first + 1, 0, 0).ceded())
                .isEqualTo(50);
        assertThat(participant.limit(10_000)).isEqualTo(50);
        assertThat(participant.onRoundStarted(10_400, 0, first + 2, 0, 0).ceded())
                .as("same incarnation")
                .isEqualTo(50);
        assertThat(participant.limit(10_400)).isEqualTo(50);
        assertThat(participant.onRoundStarted(10_800, 0, second + 1, 0, 0).ceded())
                .as("next incarnation")
                .isZero();
        assertThat(participant.onRoundStarted(10_900, 0, first + 3, 0, 0))
                .as("late message of the earlier incarnation")
                .isNull();
        assertThat(participant.onRoundStarted(13_500, 0, second + 2, 0, 0).ceded())
                .as("after the earlier cession has expired")
                .isEqualTo(50);
    }

    @Test
    void idleSharesAreUsedElsewhereAndReturnWithinFiveSeconds() {
        for (double loss : new double[] {0, 0.5}) {
            Fleet fleet = new Fleet(2, 7);
            fleet.loss = loss;
            fleet.perSecond[0] = 10 * CAP;
            fleet.advance(10_000);
            assertThat(fleet.servedPerSecond(0, 10_000))
                    .as("with the other idle, loss " + loss)
                    .isGreaterThan(loss == 0 ? 430 : 340);
            fleet.perSecond[1] = 250;
            fleet.advance(5000);
            assertThat(fleet.servedPerSecond(1, 10_000))
                    .as("back to 250 of its own 300, loss " + loss)
                    .isGreaterThan(245);
            assertThat(fleet.fullestWindow).isLessThanOrEqualTo((int) CAP);
        }
    }

    @Test
    void withoutTheHolderEachHasItsOwnShareAndAnotherTakesOver() {
        Fleet fleet = new Fleet(3, 3);
        fleet.perSecond[1] = 10 * CAP;
        fleet.advance(10_000);
        assertThat(fleet.servedPerSecond(1, 5000)).isGreaterThan(330);
        fleet.down[0] = true;
        assertThat(fleet.servedPerSecond(1, 3000)).as("at least its own share").isGreaterThan(195);
        fleet.advance(4000);
        assertThat(fleet.servedPerSecond(1, 5000))
                .as("what the third instance cedes, through a new holder")
                .isGreaterThan(280);
        fleet.start(0);
        fleet.advance(8000);
        assertThat(fleet.servedPerSecond(1, 5000)).isGreaterThan(330);
        assertThat(fleet.fullestWindow).isLessThanOrEqualTo((int) CAP);
    }

    @Test
    void anIsolatedInstanceKeepsItsOwnShare() {
        Fleet fleet = new Fleet(4, 3);
        fleet.loss = 1;
        fleet.perSecond[2] = 10 * CAP;
        fleet.advance(5000);
        assertThat(fleet.servedPerSecond(2, 10_000)).isBetween(147.0, 150.5);
    }
}
