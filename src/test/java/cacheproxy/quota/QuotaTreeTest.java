package cacheproxy.quota;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class QuotaTreeTest {
    private static final double START = 1.7e12;

    private static QuotaSpec spec(String name, List<Limit> limits, QuotaSpec... children) {
        return new QuotaSpec(name, 1, limits, List.of(children));
    }

    private static Limit requests(long windowMs, long guarantee, long cap) {
        return new Limit(Measure.REQUESTS, windowMs, guarantee, cap);
    }

    /** The example: three organisations, 1,000 requests a second for all, scaled to another window. */
    private static QuotaSpec partners(long windowMs) {
        long f = windowMs / 1000;
        return spec(
                "all",
                List.of(requests(windowMs, 0, 1000 * f)),
                partner("alpha", 500 * f, 800 * f, windowMs),
                partner("beta", 300 * f, 800 * f, windowMs),
                partner("gamma", 200 * f, 800 * f, windowMs));
    }

    private static QuotaSpec partner(String name, long guarantee, long cap, long windowMs) {
        return spec(
                name,
                List.of(requests(windowMs, guarantee, cap)),
                spec("player", List.of(requests(windowMs, guarantee * 7 / 10, cap))),
                spec("set-top", List.of(requests(windowMs, guarantee * 3 / 10, cap))));
    }

    // ---- caps, compared with an exact log

    private static final class History {
        final QuotaTree tree;
        final QuotaSpec spec;
        final SplittableRandom random;
        final Map<String, ExactLog> log = new HashMap<>();
        double now = START;
        int admitted;

        History(QuotaSpec spec, long seed) {
            this.spec = spec;
            tree = new QuotaTree(spec, 64, seed);
            random = new SplittableRandom(seed);
        }

        void request(String[] path, long bytes, boolean write) {
            QuotaCharge charge = new QuotaCharge();
            if (tree.admit(now, path, bytes, write, charge) > 0) {
                return;
            }
            admitted++;
            if (random.nextInt(10) == 0) {
                tree.refund(now, charge);
                return;
            }
            String at = "";
            log(at, bytes, write);
            for (String name : path) {
                at += "/" + name;
                log(at, bytes, write);
            }
            tree.settle(now, charge, bytes);
        }

        private void log(String node, long bytes, boolean write) {
            for (Measure m : Measure.values()) {
                log.computeIfAbsent(node + " " + m, k -> new ExactLog()).add(now, m.of(bytes, write));
            }
        }

        void check() {
            check("", spec);
        }

        private void check(String node, QuotaSpec of) {
            for (Limit limit : of.limits()) {
                ExactLog used = log.getOrDefault(node + " " + limit.measure(), new ExactLog());
                assertThat(used.fullest(limit.windowMs()))
                        .as("%s in the fullest window of %s", node, limit)
                        .isLessThanOrEqualTo(limit.cap());
            }
            of.children().forEach(c -> check(node + "/" + c.name(), c));
        }
    }

    private static List<Limit> randomLimits(SplittableRandom random, int share) {
        List<Limit> limits = new ArrayList<>();
        for (Measure m : Measure.values()) {
            for (long window : new long[] {1000, 7000, 60_000}) {
                if (random.nextInt(4) == 0) {
                    long cap = (m == Measure.BYTES ? 100_000 : 30) * window / 1000 / share + 1;
                    limits.add(new Limit(m, window, random.nextInt(3) == 0 ? 0 : cap / 3, cap));
                }
            }
        }
        return limits;
    }

    /** A tree whose guarantees fit, with children that may have larger caps than their parent. */
    private static QuotaSpec randomTree(SplittableRandom random) {
        List<QuotaSpec> orgs = new ArrayList<>();
        for (int o = 0; o < 3; o++) {
            List<QuotaSpec> apps = new ArrayList<>();
            for (int a = 0; a < random.nextInt(3); a++) {
                apps.add(spec("app" + a, List.of(requests(1000, random.nextInt(4), 4 + random.nextInt(30)))));
            }
            orgs.add(new QuotaSpec("org" + o, 0.1 + random.nextInt(5), randomLimits(random, 3), apps));
        }
        List<Limit> root = new ArrayList<>();
        for (Limit l : randomLimits(random, 1)) {
            root.add(new Limit(l.measure(), l.windowMs(), 0, l.cap() * 2));
        }
        return new QuotaSpec("all", 1, root, orgs);
    }

    /**
     * 10,000 random histories with a demand of ten times every cap: in bursts at the edges of windows, in steps of 50
     * ms, and at random times.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
    void noNodeExceedsItsCapInAnyWindow(int block) {
        long admitted = 0;
        for (int seed = block * 1000; seed < block * 1000 + 1000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            QuotaSpec spec;
            try {
                spec = randomTree(random);
                new QuotaTree(spec, 1, 1);
            } catch (IllegalArgumentException e) {
                continue; // its guarantees exceed a cap
            }
            History h = new History(spec, seed);
            for (int i = 0; i < 60; i++) {
                h.now += switch (random.nextInt(5)) {
                    case 0 -> 50;
                    case 1 -> 1000 - 0.001;
                    case 2 -> 1000.0 / SlidingCount.STEPS;
                    case 3 -> random.nextDouble() * 7000;
                    default -> random.nextDouble() * 20;
                };
                String[] path = random.nextInt(3) == 0
                        ? new String[] {"org" + random.nextInt(3)}
                        : new String[] {"org" + random.nextInt(3), "app" + random.nextInt(2)};
                for (int burst = random.nextInt(40); burst >= 0; burst--) {
                    h.request(path, random.nextInt(3000), random.nextInt(5) == 0);
                }
            }
            h.check();
            admitted += h.admitted;
        }
        assertThat(admitted).isGreaterThan(50_000);
    }

    // ---- shares

    /** Sends requests at these mean rates with random arrivals, and counts the admitted ones by name. */
    private static Map<String, Integer> replay(
            QuotaTree tree, double from, double seconds, Map<String, Double> perSecond, SplittableRandom random) {
        record Next(String name, double at) {}
        Map<String, Integer> in = new HashMap<>();
        List<Next> next = new ArrayList<>();
        perSecond.forEach((name, rate) -> next.add(new Next(name, from + random.nextDouble() * 1000 / rate)));
        QuotaCharge charge = new QuotaCharge();
        while (!next.isEmpty()) {
            Next n = next.stream().min((a, b) -> Double.compare(a.at, b.at)).orElseThrow();
            next.remove(n);
            if (n.at >= from + seconds * 1000) {
                continue;
            }
            if (tree.admit(n.at, n.name.split("/"), 0, false, charge) == 0) {
                in.merge(n.name, 1, Integer::sum);
                tree.settle(n.at, charge, 0);
            }
            next.add(new Next(n.name, n.at - Math.log(1 - random.nextDouble()) * 1000 / perSecond.get(n.name)));
        }
        return in;
    }

    @ParameterizedTest
    @ValueSource(longs = {1000, 10_000, 60_000})
    void lentRateReturnsWithinFiveSecondsWhileTheBorrowerStaysActive(long window) {
        QuotaTree tree = new QuotaTree(partners(window), 64, 1);
        SplittableRandom random = new SplittableRandom(5);
        double seconds = 2 * window / 1000.0 + 10;
        Map<String, Integer> alone = replay(tree, START, seconds, Map.of("beta/player", 8000.0), random);
        assertThat(alone.get("beta/player") / seconds)
                .as("lent while no other owner has demand")
                .isBetween(700.0, 900.0);
        double back = START + seconds * 1000;
        Map<String, Double> both = Map.of("beta/player", 8000.0, "alpha/player", 330.0, "alpha/set-top", 140.0);
        replay(tree, back, 5, both, random);
        Map<String, Integer> after = replay(tree, back + 5000, 20, both, random);
        assertThat(after.get("alpha/player"))
                .as("admitted of the returning owner's demand")
                .isGreaterThan((int) (330 * 20 * 0.93));
        assertThat((after.get("alpha/player") + after.get("alpha/set-top")) / 20.0)
                .isGreaterThan(470 * 0.96);
    }

    @Test
    void eachGetsItsGuaranteeWhileOthersDemandTenTimesTheirs() {
        QuotaTree tree = new QuotaTree(partners(1000), 64, 1);
        SplittableRandom random = new SplittableRandom(5);
        Map<String, Double> all = Map.of("alpha/player", 5000.0, "beta/player", 3000.0, "gamma/player", 190.0);
        replay(tree, START, 5, all, random);
        Map<String, Integer> in = replay(tree, START + 5000, 30, all, random);
        assertThat(in.get("gamma/player") / 30.0)
                .as("demands less than its guarantee")
                .isGreaterThan(190 * 0.95);
        assertThat(in.get("alpha/player") / 30.0).isGreaterThan(490);
        assertThat(in.get("beta/player") / 30.0).isGreaterThan(290);
        assertThat(in.values().stream().mapToInt(n -> n).sum() / 30.0)
                .as("the cap is used up")
                .isGreaterThan(970);
    }

    // ---- charges

    @Test
    void chargesAreRefundedOrSettled() {
        QuotaTree tree = new QuotaTree(
                spec(
                        "all",
                        List.of(
                                requests(1000, 0, 2),
                                new Limit(Measure.BYTES, 1000, 0, 1000),
                                new Limit(Measure.WRITES, 1000, 0, 1))),
                1,
                1);
        String[] path = {};
        QuotaCharge first = new QuotaCharge();
        assertThat(tree.admit(START, path, 400, true, first)).isZero();
        QuotaCharge second = new QuotaCharge();
        assertThat(tree.admit(START, path, 0, true, second))
                .as("a second write")
                .isPositive();
        assertThat(second.isOpen()).isFalse();
        assertThat(tree.used(START, path, Measure.REQUESTS, 1000))
                .as("a rejected request is not charged")
                .isEqualTo(1);
        tree.refund(START + 10, first);
        assertThat(first.isOpen()).isFalse();
        assertThat(tree.used(START + 10, path, Measure.BYTES, 1000)).isZero();
        assertThat(tree.admit(START + 10, path, 400, true, first))
                .as("capacity of the refunded request")
                .isZero();
        tree.settle(START + 20, first, 100);
        assertThat(tree.used(START + 20, path, Measure.BYTES, 1000))
                .as("settled below the estimate")
                .isEqualTo(100);
        assertThat(tree.used(START + 20, path, Measure.WRITES, 1000)).isEqualTo(1);
    }

    /**
     * A response of 4 MiB with 1 KiB left: admitted by its estimate, then nothing is admitted until the debt is paid.
     */
    @Test
    void debtIsPaidBeforeAnyNewCharge() {
        QuotaTree tree = new QuotaTree(spec("all", List.of(new Limit(Measure.BYTES, 1000, 0, 1 << 20))), 1, 1);
        String[] path = {};
        QuotaCharge charge = new QuotaCharge();
        tree.admit(START, path, (1 << 20) - 1024, false, new QuotaCharge());
        assertThat(tree.admit(START, path, 1000, false, charge)).isZero();
        tree.settle(START, charge, 4 << 20);
        assertThat(tree.debt(path, Measure.BYTES, 1000)).isEqualTo((4 << 20) - 1024);
        double wait = 0;
        double now = START;
        for (; (wait = tree.admit(now, path, 1, false, charge)) > 0; now += 50) {
            assertThat(tree.used(now, path, Measure.BYTES, 1000)).isLessThanOrEqualTo(1 << 20);
        }
        assertThat(now - START).as("four windows and the one that was full").isBetween(4000.0, 5500.0);
    }

    @Test
    void debtOutlastsAWindowOfAnHour() {
        QuotaTree tree =
                new QuotaTree(spec("all", List.of(new Limit(Measure.BYTES, Limit.MAX_WINDOW_MS, 0, 1000))), 1, 1);
        QuotaCharge charge = new QuotaCharge();
        tree.admit(START, new String[0], 10, false, charge);
        tree.settle(START, charge, 5000);
        for (int hour = 1; hour < 5; hour++) {
            assertThat(tree.admit(START + hour * 3_600_000.0, new String[0], 1, false, charge))
                    .isPositive();
        }
        // Debt is paid on access, so with one request an hour it is paid somewhat late, but never early.
        assertThat(tree.admit(START + 9 * 3_600_000.0, new String[0], 1, false, charge))
                .isZero();
    }

    /** A request larger than the cap is charged the whole cap, as it could never be admitted otherwise. */
    @Test
    void aRequestLargerThanTheCapIsAdmittedAloneAndBecomesDebt() {
        QuotaTree tree = new QuotaTree(spec("all", List.of(new Limit(Measure.BYTES, 1000, 0, 1000))), 1, 1);
        QuotaCharge charge = new QuotaCharge();
        assertThat(tree.admit(START, new String[0], 2500, false, charge)).isZero();
        tree.settle(START, charge, 2500);
        assertThat(tree.debt(new String[0], Measure.BYTES, 1000)).isEqualTo(1500);
    }

    @Test
    void theWaitIsThatOfTheWindowWithJitter() {
        QuotaTree tree = new QuotaTree(spec("all", List.of(requests(10_000, 0, 3))), 1, 1);
        QuotaCharge charge = new QuotaCharge();
        for (int i = 0; i < 3; i++) {
            assertThat(tree.admit(START + i * 1000, new String[0], 0, false, charge))
                    .isZero();
        }
        double least = 1e9;
        double most = 0;
        for (int i = 0; i < 100; i++) {
            double wait = tree.admit(START + 4000, new String[0], 0, false, charge);
            least = Math.min(least, wait);
            most = Math.max(most, wait);
        }
        assertThat(least).isBetween(6000.0, 6300.0);
        assertThat(most).isBetween(8500.0, 9500.0);
        assertThat(tree.admit(START + 4000 + least, new String[0], 0, false, charge))
                .isZero();
    }

    @Test
    void aClockThatStepsBackAdmitsNothingMore() {
        QuotaTree tree = new QuotaTree(spec("all", List.of(requests(1000, 0, 5))), 1, 1);
        QuotaCharge charge = new QuotaCharge();
        int in = 0;
        for (int i = 0; i < 50; i++) {
            in += tree.admit(START - i * 100_000.0, new String[0], 0, false, charge) == 0 ? 1 : 0;
        }
        assertThat(in).isEqualTo(5);
    }

    // ---- unnamed owners

    @Test
    void unnamedOwnersShareANodeOrGetOneEach() {
        QuotaTree tree = new QuotaTree(
                spec(
                        "all",
                        List.of(requests(1000, 0, 100)),
                        spec(
                                "alpha",
                                List.of(requests(1000, 0, 50)),
                                spec(QuotaSpec.EACH, List.of(requests(1000, 0, 2)))),
                        spec(QuotaSpec.ANY, List.of(requests(1000, 3, 3)))),
                64,
                1);
        QuotaCharge charge = new QuotaCharge();
        int in = 0;
        for (int i = 0; i < 10; i++) {
            in += tree.admit(START, new String[] {"nobody-" + i, "app"}, 0, false, charge) == 0 ? 1 : 0;
        }
        assertThat(in).as("all unnamed owners together").isEqualTo(3);
        for (String app : new String[] {"one", "two"}) {
            for (int i = 0; i < 3; i++) {
                assertThat(tree.admit(START, new String[] {"alpha", app}, 0, false, charge) == 0)
                        .isEqualTo(i < 2);
            }
        }
    }

    /**
     * 100,000 device classes, each seen once: the number of nodes stays bounded, and an owner in debt is not forgotten.
     */
    @Test
    void unnamedNodesAreBoundedAndThoseInDebtAreNotEvicted() {
        QuotaTree tree = new QuotaTree(
                spec("all", List.of(), spec(QuotaSpec.EACH, List.of(new Limit(Measure.BYTES, 1000, 0, 1000)))), 256, 1);
        QuotaCharge charge = new QuotaCharge();
        String[] owes = {"owes"};
        tree.admit(START, owes, 1, false, charge);
        tree.settle(START, charge, 1_000_000);
        for (int i = 0; i < 100_000; i++) {
            if (tree.admit(START + i, new String[] {"device-" + i}, 1, false, charge) == 0) {
                tree.settle(START + i, charge, 1);
            }
            assertThat(tree.unnamed()).isLessThanOrEqualTo(256);
        }
        assertThat(tree.debt(owes, Measure.BYTES, 1000)).isPositive();
        assertThat(tree.admit(START + 100_000, owes, 1, false, charge)).isPositive();
    }

    @Test
    void invalidDefinitionsAreRejectedWithTheReason() {
        assertThatThrownBy(() -> new QuotaTree(
                        spec(
                                "all",
                                List.of(requests(1000, 0, 10)),
                                spec("a", List.of(requests(1000, 6, 10))),
                                spec("b", List.of(requests(1000, 5, 10)))),
                        1,
                        1))
                .hasMessage("those beneath all are guaranteed 11 REQUESTS in 1000 ms, more than its cap of 10");
        assertThatThrownBy(() -> spec("a", List.of(requests(1000, 0, 1), requests(1000, 0, 2))))
                .hasMessageContaining("two quotas for REQUESTS");
        assertThatThrownBy(() -> requests(999, 0, 1)).hasMessageContaining("1 s to 1 h");
        assertThatThrownBy(() -> requests(1000, 2, 1)).hasMessageContaining("guarantee of 2 under a cap of 1");
        assertThatThrownBy(() -> new QuotaTree(
                        spec("all", List.of(), spec(QuotaSpec.EACH, List.of(requests(1000, 1, 1)))), 1, 1))
                .hasMessageContaining("has no bound");
        QuotaSpec deep = spec("6", List.of());
        for (int i = 5; i >= 0; i--) {
            deep = spec("" + i, List.of(), deep);
        }
        QuotaSpec tooDeep = deep;
        assertThatThrownBy(() -> new QuotaTree(tooDeep, 1, 1)).hasMessageContaining("6 deep");
    }
}
