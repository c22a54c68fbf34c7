package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Load shedding under overload of the origin or of the endpoints, and its distribution among tenants. */
class OverloadProtectionTest {
    /** An origin that rejects every fetch gets fewer and fewer fetches. */
    @Test
    void anOverloadedOriginIsLeftToRecover() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(5);
        int late = 0;
        for (int id = 1; id <= 100; id++) {
            harness.now += 20;
            harness.read(id, id);
            harness.end(harness.last(), AttemptOutcome.MISS);
            if (harness.last().server() == LoadBalancerHarness.ORIGIN) {
                late += id > 50 ? 1 : 0;
                harness.end(harness.last(), AttemptOutcome.REJECTED);
            }
        }
        assertThat(late).isLessThan(15);
        assertThat(harness.rejected).hasSize(100);
    }

    /** A throttled origin gets no fetch that would be late, and is used again after a period without fetches. */
    @Test
    void aThrottleDoesNotStayShut() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(5);
        int fetched = 0;
        for (int id = 1; id <= 200; id++) {
            harness.now += 20;
            harness.read(id, id);
            harness.end(harness.last(), AttemptOutcome.MISS);
            if (harness.last().server() == LoadBalancerHarness.ORIGIN) {
                fetched++;
                harness.now += 900;
                harness.endAfter(harness.last(), AttemptOutcome.OK, 900);
            }
        }
        assertThat(fetched).isLessThan(150);
        harness.now += 30000;
        harness.read(1000, 1000);
        harness.end(harness.last(), AttemptOutcome.MISS);
        assertThat(harness.last().server()).isEqualTo(LoadBalancerHarness.ORIGIN);
    }

    /**
     * An origin that is unreachable or resets connections is not overloaded: once it can be reached, every miss is
     * fetched.
     */
    @ParameterizedTest
    @EnumSource(names = {"CONNECT_FAILED", "RESET", "NOT_SENT"})
    void anUnreachableOriginIsNotTakenForAnOverloadedOne(AttemptOutcome broken) {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(5);
        int id = 0;
        while (++id <= 100) {
            harness.now += 20;
            harness.read(id, id);
            harness.end(harness.last(), AttemptOutcome.MISS);
            if (harness.last().server() == LoadBalancerHarness.ORIGIN) {
                harness.end(harness.last(), broken);
            }
        }
        harness.now += 500;
        for (; id <= 150; id++) {
            harness.now += 20;
            harness.read(id, id);
            harness.end(harness.last(), AttemptOutcome.MISS);
            assertThat(harness.last().server()).as("request %d", id).isEqualTo(LoadBalancerHarness.ORIGIN);
            harness.end(harness.last(), AttemptOutcome.OK);
        }
    }

    /**
     * While the origin is known to be unreachable, a read that needs it is rejected at once instead of after a connect
     * timeout.
     */
    @Test
    void whatNeedsAnUnreachableOriginIsAnsweredAtOnce() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(5);
        int tried = 0;
        for (int id = 1; id <= 100; id++) {
            harness.now += 20;
            harness.read(id, id);
            harness.end(harness.last(), AttemptOutcome.MISS);
            if (harness.last().server() == LoadBalancerHarness.ORIGIN) {
                tried++;
                harness.end(harness.last(), AttemptOutcome.CONNECT_FAILED);
            }
            assertThat(harness.rejected).as("answered without delay").hasSize(id);
        }
        assertThat(tried).as("three attempts, and one every half second").isBetween(5, 8);
        harness.write(1000, LoadBalancerHarness.NON_IDEMPOTENT);
        assertThat(harness.rejected)
                .as("a write has not run, so it is rejected")
                .contains(1000);
    }

    /**
     * Under overload most rejections go to the tenant far over its quota, and hardly any to the one within its quota.
     */
    @Test
    void rejectionsComeOffTheTenantOverItsQuota() {
        int[] rejected =
                rejectedUnderOverload(new LoadBalancerHarness(LoadBalancerHarness.tenants(100, 100)).fleet(12));
        assertThat(rejected[0]).isGreaterThan(150);
        assertThat(rejected[1]).isLessThan(10);
    }

    /** If requests over quota have full value, all tenants are rejected alike, also when a reload makes it so. */
    @Test
    void otherSettingsMayEndTheFairShares() {
        LoadBalancerHarness harness = new LoadBalancerHarness(LoadBalancerHarness.tenants(100, 100)).fleet(12);
        harness.loadBalancer.onSettings(
                harness.now,
                LoadBalancerHarness.withOverQuotaWeight(LoadBalancerHarness.tenants(100, 100), 1),
                harness);
        int[] rejected = rejectedUnderOverload(harness);
        assertThat(rejected[0]).isGreaterThan(150);
        assertThat(rejected[1]).as("a tenth of the requests").isGreaterThan(15);
    }

    private static int[] rejectedUnderOverload(LoadBalancerHarness harness) {
        int[] rejected = new int[2];
        for (int id = 1; id <= 1000; id++) {
            harness.now += 10;
            int tenant = id % 10 == 0 ? 1 : 0;
            int before = harness.rejected.size();
            harness.loadBalancer.onRequest(
                    harness.now,
                    new Request(
                            id,
                            LoadBalancerHarness.IDEMPOTENT,
                            tenant,
                            id,
                            harness.now + 1000,
                            Double.NaN,
                            0,
                            false,
                            false),
                    harness);
            if (harness.rejected.size() > before) {
                rejected[tenant]++;
            } else {
                harness.endAfter(harness.last(), AttemptOutcome.OK, id % 2 == 0 ? 290 : 20);
            }
        }
        return rejected;
    }

    /** Late responses cause reads to be shed; with timely responses all reads are admitted again. */
    @Test
    void overloadOfEndpointsShedsReadsAndEnds() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(12);
        for (int id = 1; id <= 300; id++) {
            harness.now += 10;
            int sent = harness.sent.size();
            harness.read(id, id);
            if (harness.sent.size() > sent) {
                harness.endAfter(harness.last(), AttemptOutcome.OK, 290);
            }
        }
        assertThat(harness.rejected).hasSizeGreaterThan(150);
        harness.now += 60000;
        harness.rejected.clear();
        for (int id = 1001; id <= 1300; id++) {
            harness.now += 10;
            harness.read(id, id);
            harness.endAfter(harness.last(), AttemptOutcome.OK, 20);
        }
        assertThat(harness.rejected).isEmpty();
    }

    /** A few hung endpoints are no overload: their timeouts must not cause other requests to be shed. */
    @Test
    void hungEndpointsDoNotShedTheOthers() {
        LoadBalancerHarness harness = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(true, false, true, DeduplicationScope.ALL))
                .fleet(12);
        List<LoadBalancerHarness.SentAttempt> hung = new ArrayList<>();
        for (int id = 1; id <= 600; id++) {
            harness.pass(10);
            int sent = harness.sent.size();
            harness.read(id, id);
            if (harness.sent.size() > sent) {
                if (harness.last().server() <= 2) {
                    hung.add(harness.last());
                } else {
                    harness.endAfter(harness.last(), AttemptOutcome.OK, 20);
                }
            }
        }
        assertThat(hung).hasSizeBetween(2, 60);
        assertThat(harness.rejected.stream().filter(id -> hung.stream().noneMatch(p -> p.request() == id)))
                .isEmpty();
    }
}
