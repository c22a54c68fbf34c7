package cacheproxy.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** An overloaded instance closes client connections at a limited rate, and only while closing them reduces its load. */
class ConnectionRebalancerTest {
    private static final double TICK_MS = 250;
    private static final double CONNECTION_RATE = 4;

    /**
     * A fleet that serves a number of connections with the same load each; a closed connection reconnects to the
     * instance with the fewest connections.
     */
    private static final class Fleet {
        final int[] open;
        final List<ConnectionRebalancer> rebalancers = new ArrayList<>();
        final int[] closed;
        double now;

        Fleet(int... open) {
            this.open = open;
            closed = new int[open.length];
            Arrays.stream(open).forEach(n -> rebalancers.add(new ConnectionRebalancer()));
        }

        /** {@code clientsReturn}: whether closed connections reconnect to the same instance. */
        void tick(boolean clientsReturn) {
            now += TICK_MS;
            int[] before = open.clone();
            for (int i = 0; i < open.length; i++) {
                List<Double> others = new ArrayList<>();
                for (int j = 0; j < open.length; j++) {
                    if (j != i) {
                        others.add(RequestRateCode.decode(RequestRateCode.encode(before[j] * CONNECTION_RATE)));
                    }
                }
                int count = rebalancers
                        .get(i)
                        .connectionsToClose(now, before[i] * CONNECTION_RATE, others, open[i], open[i]);
                assertThat(count).isBetween(0, open[i]);
                closed[i] += count;
                for (int c = 0; c < count && !clientsReturn; c++) {
                    open[i]--;
                    int least = 0;
                    for (int j = 0; j < open.length; j++) {
                        least = open[j] < open[least] ? j : least;
                    }
                    open[least]++;
                }
            }
        }

        double highestLoadRatio() {
            return Arrays.stream(open).max().orElse(0)
                    * (double) open.length
                    / Arrays.stream(open).sum();
        }
    }

    /**
     * The first instance to restart has all clients. Within ten seconds no instance has more than 1.5 times the mean.
     */
    @Property(seed = "7", tries = 200)
    void clientsOfOneInstanceAreRebalanced(
            @ForAll @IntRange(min = 2, max = 60) int proxies, @ForAll @IntRange(min = 4, max = 40) int each) {
        int[] open = new int[proxies];
        open[proxies / 2] = proxies * each;
        Fleet fleet = new Fleet(open);
        while (fleet.now < 10_000) {
            fleet.tick(false);
        }
        assertThat(fleet.highestLoadRatio()).isLessThanOrEqualTo(1.5);
    }

    /** From any initial distribution, rebalancing stops: connections are not closed forever. */
    @Property(seed = "8", tries = 200)
    void rebalancingEnds(@ForAll @IntRange(min = 2, max = 20) int proxies, @ForAll long seed) {
        int[] open = new Random(seed).ints(proxies, 5, 100).toArray();
        Fleet fleet = new Fleet(open);
        while (fleet.now < 30_000) {
            fleet.tick(false);
        }
        int[] closedBefore = fleet.closed.clone();
        while (fleet.now < 60_000) {
            fleet.tick(false);
        }
        assertThat(fleet.closed).isEqualTo(closedBefore);
    }

    /**
     * Clients that run beside their proxy reconnect to it; the rebalancer closes their connections less and less often.
     */
    @Example
    void rebalancingBacksOffWhereClientsComeBack() {
        Fleet fleet = new Fleet(120, 20, 20, 20);
        while (fleet.now < 600_000) {
            fleet.tick(true);
        }
        assertThat(fleet.rebalancers.get(0).isBackingOff(fleet.now)).isTrue();
        assertThat(fleet.closed[0]).isLessThan(6 * 4 * 120);
        assertThat(fleet.closed[1]).isZero();
    }

    @Example
    void noConnectionIsClosedWithoutOtherInstances() {
        ConnectionRebalancer rebalancer = new ConnectionRebalancer();
        for (int t = 0; t < 20_000; t += 250) {
            assertThat(rebalancer.connectionsToClose(t, 1000, Collections.emptyList(), 100, 100))
                    .isZero();
        }
    }

    @Example
    void slightOverloadIsTolerated() {
        ConnectionRebalancer rebalancer = new ConnectionRebalancer();
        for (int t = 0; t < 20_000; t += 250) {
            assertThat(rebalancer.connectionsToClose(t, 120, List.of(100.0, 95.0, 105.0), 30, 30))
                    .isZero();
        }
    }

    @Property(seed = "9")
    void rateCodeIsAccurateToAnEighth(@ForAll @IntRange(min = 1, max = 1_000_000) int perSecond) {
        double decoded = RequestRateCode.decode(RequestRateCode.encode(perSecond));
        assertThat(decoded).isBetween(perSecond / 1.13, perSecond * 1.13);
        assertThat(RequestRateCode.differs(RequestRateCode.encode(perSecond), perSecond))
                .isFalse();
        assertThat(RequestRateCode.differs(RequestRateCode.encode(perSecond), perSecond * 1.6 + 2))
                .isTrue();
    }
}
