package cacheproxy.route;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.route.RoutePolicy.RejectedRequests;
import cacheproxy.route.RouterRig.InFlightAttempt;
import cacheproxy.route.RouterRig.TrackedRequest;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RouterTest {
    private static final Pool EAST = pool("east", "east");
    private static final Pool WEST = pool("west", "west");

    private static Pool pool(String name, String site) {
        return new Pool(name, Set.of(site), Set.of(), Set.of(), List.of(), List.of(), true);
    }

    private static Pool hosts(String name, String... globs) {
        return new Pool(
                name,
                Set.of(),
                Set.of(),
                Set.of(),
                List.of(globs).stream().map(Glob::new).toList(),
                List.of(),
                true);
    }

    private static Route route(String name, String key, String pool, String fallback, String policy) {
        return new Route(
                name, key == null ? null : new Glob(key), Set.of(), Set.of(), Set.of(), pool, fallback, policy);
    }

    private static RoutePolicy policy(String name, int attempts, double share, boolean hedgingAllowed) {
        return new RoutePolicy(
                name,
                Double.POSITIVE_INFINITY,
                attempts,
                share,
                0,
                hedgingAllowed,
                RejectedRequests.NOTHING,
                Integer.MAX_VALUE,
                0);
    }

    private static Routing routing(int version, List<Pool> pools, List<RoutePolicy> policies, Route... routes) {
        Map<String, Pool> byName = new LinkedHashMap<>();
        pools.forEach(p -> byName.put(p.name(), p));
        Map<String, RoutePolicy> named = new LinkedHashMap<>();
        policies.forEach(p -> named.put(p.name(), p));
        return new Routing("h" + version, byName, named, new RouteTable(List.of(routes)));
    }

    /** Keys that begin with e go east, those with w go west; each pool is the fallback of the other. */
    private static Routing twoSites(RoutePolicy... policies) {
        String policy = policies.length == 0 ? null : policies[0].name();
        return routing(
                1,
                List.of(EAST, WEST),
                List.of(policies),
                route("e", "e*", "east", "west", policy),
                route("w", "w*", "west", "east", policy));
    }

    @Test
    void requestsGoToTheirPoolsEndpointsAndOthersToAll() {
        RouterRig rig = new RouterRig(twoSites()).fleet(20);
        Set<Integer> any = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            assertThat(rig.inFlight(rig.request(RouterRig.READ, "e" + i)).endpointId() % 2)
                    .isZero();
            assertThat(rig.inFlight(rig.request(RouterRig.READ, "w" + i)).endpointId() % 2)
                    .isOne();
            any.add(rig.inFlight(rig.request(RouterRig.READ, "x" + i)).endpointId() % 2);
        }
        assertThat(any).containsExactlyInAnyOrder(0, 1);
        assertThat(rig.router.routes()).extracting(RouteStatus::requests).containsExactly(100L, 100L, 100L);
        assertThat(rig.router.pools()).extracting(PoolStatus::openRequests).containsExactly(100, 100, 100);
    }

    @Test
    void theListIsWatchedOnceForAllPools() {
        RouterRig rig = new RouterRig(twoSites()).fleet(4);
        rig.advance(20_000);
        assertThat(rig.watchOrders).isEqualTo(1);
        rig.updateList(EndpointUpdateKind.FAILED, List.of());
        rig.advance(20_000);
        assertThat(rig.watchOrders).isEqualTo(2);
    }

    @Test
    void whatThePoolCouldNotServeGoesToTheFallbackAndAttemptsCountOverBoth() {
        RouterRig rig = new RouterRig(twoSites(policy("two", 2, Double.POSITIVE_INFINITY, true))).fleet(2);
        int id = rig.request(RouterRig.READ, "e1"); // server 2 is the only one in the east
        rig.end(rig.inFlight(id), AttemptOutcome.CONNECT_FAILED);
        assertThat(rig.tracked(id).endpoints).containsExactly(2, 1);
        rig.end(rig.inFlight(id), AttemptOutcome.CONNECT_FAILED);
        assertThat(rig.tracked(id).answer).isEqualTo("rejected");
        assertThat(rig.tracked(id).endpoints).hasSize(2);
        assertThat(rig.router.routes().get(0).fallbacks()).isOne();
        assertThat(rig.router.pools()).extracting(PoolStatus::openRequests).containsOnly(0);
    }

    @Test
    void aWriteThatMayHaveRunHasNoSecondPoolAndOneThatHasNotHas() {
        for (int kind : new int[] {RouterRig.NON_IDEMPOTENT, RouterRig.KEYED}) {
            for (AttemptOutcome outcome : AttemptOutcome.values()) {
                if (outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.MISS) {
                    continue;
                }
                RouterRig rig = new RouterRig(twoSites()).fleet(2);
                int id = rig.request(kind, "e1");
                rig.end(rig.inFlight(id), outcome);
                TrackedRequest a = rig.tracked(id);
                if (outcome.mayHaveRun()) {
                    assertThat(a.endpoints).as(outcome + " of " + kind).containsExactly(2);
                    assertThat(a.answer).isEqualTo("failed");
                } else {
                    assertThat(a.endpoints).as(outcome + " of " + kind).containsExactly(2, 1);
                }
            }
        }
    }

    @Test
    void aPoolWithoutAnEndpointFallsBackAtOnce() {
        RouterRig rig = new RouterRig(routing(
                        1, List.of(hosts("none", "gone-*"), WEST), List.of(), route("r", null, "none", "west", null)))
                .fleet(4);
        int id = rig.request(RouterRig.NON_IDEMPOTENT, "k");
        assertThat(rig.inFlight(id).endpointId() % 2).isOne();
        RouterRig without = new RouterRig(
                        routing(1, List.of(hosts("none", "gone-*")), List.of(), route("r", null, "none", null, null)))
                .fleet(4);
        assertThat(without.tracked(without.request(RouterRig.READ, "k")).answer)
                .as("answered at once")
                .isEqualTo("rejected");
    }

    @Test
    void drainingAndSlowStartHoldInEachPoolOfAnEndpoint() {
        Routing both = routing(
                1,
                List.of(hosts("a", "s-1", "s-2"), hosts("b", "s-1", "s-3")),
                List.of(),
                route("a", "a*", "a", "b", null),
                route("b", "b*", "b", "a", null));
        RouterRig rig = new RouterRig(both).fleet(3);
        rig.updateList(EndpointUpdateKind.DELTA, List.of(RouterRig.endpoint(1, EndpointState.DRAINING, 0)));
        for (int i = 0; i < 200; i++) {
            assertThat(rig.inFlight(rig.request(RouterRig.READ, "a" + i)).endpointId())
                    .isEqualTo(2);
            assertThat(rig.inFlight(rig.request(RouterRig.READ, "b" + i)).endpointId())
                    .isEqualTo(3);
        }
        RouterRig cold = new RouterRig(both).fleet(3);
        cold.updateList(EndpointUpdateKind.DELTA, List.of(RouterRig.endpoint(1, EndpointState.READY, cold.now)));
        int sent = 0;
        for (int i = 0; i < 400; i++) {
            sent += cold.inFlight(cold.request(RouterRig.READ, "a" + i)).endpointId() == 1 ? 1 : 0;
            sent += cold.inFlight(cold.request(RouterRig.READ, "b" + i)).endpointId() == 1 ? 1 : 0;
        }
        // Warm, the endpoint would get half of 800 requests; in slow start it gets 0.3 of that, in each pool.
        assertThat(sent).isBetween(400 * 3 / 10 - 45, 400 * 3 / 10 + 45);
    }

    /** The removal of an endpoint names only its id, without the attributes by which its pool selected it. */
    @Test
    void anEndpointThatIsRemovedOrNoLongerSelectedIsRemovedFromItsPool() {
        RouterRig rig = new RouterRig(
                        routing(1, List.of(hosts("a", "s-1", "s-2")), List.of(), route("a", "a*", "a", null, null)))
                .fleet(3);
        assertThat(rig.router.pools().get(1).readyEndpoints()).isEqualTo(2);
        rig.updateList(EndpointUpdateKind.DELTA, List.of(RouterRig.endpoint(1, EndpointState.REMOVED, 0)));
        assertThat(rig.router.pools().get(1).readyEndpoints()).isEqualTo(1);
        for (int i = 0; i < 50; i++) {
            assertThat(rig.inFlight(rig.request(RouterRig.READ, "a" + i)).endpointId())
                    .isEqualTo(2);
        }
        Endpoint two = RouterRig.endpoint(2, EndpointState.READY, 0);
        rig.router.updateAttributes(2, new EndpointAttributes("renamed", "east", "node", Set.of()));
        rig.router.onEndpointUpdate(rig.now, EndpointUpdateKind.DELTA, List.of(two), rig);
        assertThat(rig.router.pools().get(1).readyEndpoints()).isZero();
        assertThat(rig.tracked(rig.request(RouterRig.READ, "a1")).answer).isEqualTo("rejected");
    }

    /** When a whole pool fails, its requests must not overload an endpoint of the fallback pool in slow start. */
    @Test
    void aRequestInItsFallbackIsNotSentToAnEndpointInSlowStart() {
        RouterRig rig = new RouterRig(twoSites()).fleet(4); // 2 and 4 in the east, 1 and 3 in the west
        rig.updateList(EndpointUpdateKind.DELTA, List.of(RouterRig.endpoint(1, EndpointState.READY, rig.now)));
        for (int i = 0; i < 200; i++) {
            int id = rig.request(RouterRig.READ, "e" + i);
            for (InFlightAttempt o;
                    rig.tracked(id).answer == null
                            && (o = rig.inFlight.stream()
                                            .filter(x -> x.request() == id)
                                            .findFirst()
                                            .orElse(null))
                                    != null; ) {
                assertThat(o.endpointId()).isNotEqualTo(1);
                if (o.endpointId() == 3) {
                    rig.end(o, AttemptOutcome.OK);
                } else {
                    rig.end(o, AttemptOutcome.CONNECT_FAILED);
                }
            }
            rig.advance(1);
        }
        assertThat(rig.router.routes().get(0).fallbacks()).isPositive();
    }

    @Test
    void theBudgetLimitsRetriesInAMassFailureAndRequestsAreAnsweredAtOnce() {
        RouterRig rig = new RouterRig(twoSites(policy("tight", 3, 0.1, true))).fleet(20);
        int further = 0;
        for (int i = 0; i < 1000; i++) {
            int id = rig.request(RouterRig.READ, "e" + i);
            while (rig.tracked(id).answer == null) {
                rig.end(rig.inFlight(id), AttemptOutcome.CONNECT_FAILED);
            }
            further += rig.tracked(id).endpoints.size() - 1;
        }
        assertThat(further).isBetween(80, 100);
        assertThat(rig.router.routes().get(0).throttledAttempts()).isPositive();
    }

    @Test
    void withoutHedgingASlowAttemptHasNoSecondBesideIt() {
        RouterRig rig = new RouterRig(twoSites(policy("one", 3, Double.POSITIVE_INFINITY, false))).fleet(20);
        int id = rig.request(RouterRig.READ, "e1");
        rig.advance(900);
        assertThat(rig.tracked(id).endpoints).hasSize(1);
        RouterRig with = new RouterRig(twoSites()).fleet(20);
        int other = with.request(RouterRig.READ, "e1");
        with.advance(900);
        assertThat(with.tracked(other).endpoints).hasSizeGreaterThan(1);
    }

    @Test
    void aPolicyDeadlineBeforeTheClientsEndsTheRequest() {
        RoutePolicy quick = new RoutePolicy(
                "quick", 200, 3, Double.POSITIVE_INFINITY, 0, true, RejectedRequests.NOTHING, Integer.MAX_VALUE, 0);
        RouterRig rig = new RouterRig(twoSites(quick)).fleet(4);
        int read = rig.request(RouterRig.READ, "e1", 60_000);
        int write = rig.request(RouterRig.NON_IDEMPOTENT, "e1", 60_000);
        rig.advance(199);
        assertThat(rig.tracked(write).answer).isNull(); // a read that is given up may be answered earlier
        rig.advance(2);
        assertThat(rig.tracked(read).answer).isEqualTo("rejected");
        assertThat(rig.tracked(write).answer).isEqualTo("failed");
    }

    @Test
    void aPolicyRejectsAtOnce() {
        RoutePolicy readOnly = new RoutePolicy(
                "ro", Double.POSITIVE_INFINITY, 3, Double.POSITIVE_INFINITY, 0, true, RejectedRequests.WRITES, 2, 250);
        RouterRig rig = new RouterRig(twoSites(readOnly)).fleet(4);
        assertThat(rig.tracked(rig.request(RouterRig.NON_IDEMPOTENT, "e1")).answer)
                .isEqualTo("rejected");
        int first = rig.request(RouterRig.READ, "e1");
        int second = rig.request(RouterRig.READ, "w1");
        assertThat(rig.tracked(rig.request(RouterRig.READ, "e2")).answer)
                .as("two are open")
                .isEqualTo("rejected");
        rig.end(rig.inFlight(first), AttemptOutcome.OK);
        assertThat(rig.tracked(rig.request(RouterRig.READ, "e3")).answer).isNull();
        rig.disconnect(second);
        assertThat(rig.tracked(rig.request(RouterRig.READ, "e4")).answer).isNull();
        assertThat(rig.router.routes().get(0).rejected()).isEqualTo(2);
    }

    @Test
    void openRequestsEndUnderTheirOldRoutesAndARemovedPoolDrains() {
        RouterRig rig = new RouterRig(twoSites()).fleet(2);
        int open = rig.request(RouterRig.READ, "e1");
        rig.router.replaceRoutes(
                rig.now, routing(2, List.of(WEST), List.of(), route("all", null, "west", null, null)), rig);
        assertThat(rig.router.pools()).extracting(PoolStatus::name).containsExactly("", "east", "west");
        assertThat(rig.router.pools().get(1).draining()).isTrue();
        assertThat(rig.inFlight(rig.request(RouterRig.READ, "e1")).endpointId()).isEqualTo(1);
        rig.end(rig.inFlight(open), AttemptOutcome.CONNECT_FAILED); // the old route still knows its fallback
        assertThat(rig.tracked(open).endpoints).containsExactly(2, 1);
        rig.end(rig.inFlight(open), AttemptOutcome.OK);
        assertThat(rig.router.pools()).extracting(PoolStatus::name).containsExactly("", "west");
        assertThat(rig.tracked(open).answer).isEqualTo("served");
        assertThat(rig.router.version()).isEqualTo(2);
    }

    /** The pool has no requests left, but an open request may still fall back to it. */
    @Test
    void aDrainingPoolIsToldOfDrainingEndpointsWhileARequestMayReachIt() {
        RouterRig rig = new RouterRig(twoSites()).fleet(4);
        int open = rig.request(RouterRig.READ, "e1");
        rig.router.replaceRoutes(
                rig.now, routing(2, List.of(EAST), List.of(), route("all", null, "east", null, null)), rig);
        rig.updateList(
                EndpointUpdateKind.DELTA,
                List.of(
                        RouterRig.endpoint(1, EndpointState.DRAINING, 0),
                        RouterRig.endpoint(3, EndpointState.REMOVED, 0)));
        while (rig.tracked(open).answer == null) {
            rig.end(rig.inFlight(open), AttemptOutcome.CONNECT_FAILED); // the rig fails if it goes to 1 or 3
        }
        assertThat(rig.tracked(open).answer).isEqualTo("rejected");
        assertThat(rig.router.pools()).extracting(PoolStatus::name).containsExactly("", "east");
    }

    /** After a first attempt of a write that may have run, a pool change must not lead to a second attempt. */
    @Test
    void aPoolChangeDuringAWriteThatMayHaveRunSendsItNowhereElse() {
        RouterRig rig = new RouterRig(twoSites()).fleet(2);
        int write = rig.request(RouterRig.NON_IDEMPOTENT, "e1");
        rig.router.replaceRoutes(
                rig.now,
                routing(
                        2,
                        List.of(new Pool("east", Set.of("west"), Set.of(), Set.of(), List.of(), List.of(), true)),
                        List.of(),
                        route("all", null, "east", null, null)),
                rig);
        rig.end(rig.inFlight(write), AttemptOutcome.RESET);
        assertThat(rig.tracked(write).endpoints).containsExactly(2);
        assertThat(rig.tracked(write).answer).isEqualTo("failed");
    }

    @Test
    void aPoolsOwnWeightsMoveItsKeys() {
        Pool heavy = new Pool(
                "heavy", Set.of(), Set.of(), Set.of(), List.of(), List.of(new Pool.Weight(new Glob("s-1"), 8)), true);
        RouterRig rig =
                new RouterRig(routing(1, List.of(heavy), List.of(), route("r", "h*", "heavy", null, null))).fleet(9);
        int first = 0;
        int plain = 0;
        for (int i = 0; i < 1600; i++) {
            first += rig.inFlight(rig.request(RouterRig.READ, "h" + i)).endpointId() == 1 ? 1 : 0;
            plain += rig.inFlight(rig.request(RouterRig.READ, "x" + i)).endpointId() == 1 ? 1 : 0;
        }
        assertThat(first).isBetween(700, 900);
        assertThat(plain).isBetween(100, 260);
    }

    /** Random events: the rig checks the safety rules at each order, and all requests must be answered at the end. */
    @Property(tries = 300, seed = "81")
    void theSafetyRulesHoldInRandomRuns(@ForAll long seed) {
        Random random = new Random(seed);
        RoutePolicy tight = policy(
                "t",
                1 + random.nextInt(3),
                random.nextInt(3) == 0 ? 0.2 : Double.POSITIVE_INFINITY,
                random.nextBoolean());
        RouterRig rig = new RouterRig(twoSites(tight), random.nextBoolean()).fleet(2 + random.nextInt(6));
        int version = 1;
        for (int step = 0; step < 300; step++) {
            switch (random.nextInt(10)) {
                case 0, 1, 2 ->
                    rig.request(random.nextInt(3), "ewx".charAt(random.nextInt(3)) + "" + random.nextInt(20));
                case 3, 4, 5, 6 -> {
                    if (!rig.inFlight.isEmpty()) {
                        AttemptOutcome[] all = AttemptOutcome.values();
                        AttemptOutcome o = all[random.nextInt(all.length)];
                        rig.end(
                                rig.inFlight.get(random.nextInt(rig.inFlight.size())),
                                o == AttemptOutcome.MISS ? AttemptOutcome.OK : o);
                    }
                }
                case 7 -> rig.advance(random.nextInt(200));
                case 8 -> {
                    List<Endpoint> changes = new ArrayList<>();
                    int id = 1 + random.nextInt(8);
                    EndpointState state = EndpointState.values()[random.nextInt(3)];
                    changes.add(
                            RouterRig.endpoint(id, state, random.nextBoolean() ? 0 : rig.now - random.nextInt(9000)));
                    rig.updateList(EndpointUpdateKind.DELTA, changes);
                }
                default -> {
                    if (random.nextInt(4) == 0) {
                        rig.router.replaceRoutes(
                                rig.now,
                                ++version % 2 == 0
                                        ? routing(
                                                version, List.of(EAST), List.of(), route("x", "x*", "east", null, null))
                                        : twoSites(tight),
                                rig);
                    } else if (!rig.requests.isEmpty()) {
                        rig.disconnect(1 + random.nextInt(rig.requests.size()));
                    }
                }
            }
            rig.runDeferred();
        }
        rig.advance(5000);
        rig.runDeferred();
        for (InFlightAttempt o : List.copyOf(rig.inFlight)) {
            rig.end(o, AttemptOutcome.TIMEOUT);
        }
        rig.runDeferred();
        assertThat(rig.requests.values()).allMatch(a -> a.answer != null);
        assertThat(rig.requests.values()).allMatch(a -> a.endpoints.size() <= 3);
        assertThat(rig.router.pools()).allMatch(p -> p.openRequests() == 0 && !p.draining());
        assertThat(rig.router.openRequests()).isZero();
    }
}
