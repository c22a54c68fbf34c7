package cacheproxy.route;

import cacheproxy.GoldenFile;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.ZoneDirective;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Compares all orders of a router over thousands of random events with a recording: those of one run as text, those of
 * the other runs as a hash.
 */
class RouterTranscriptTest {
    private static final String EXPECTED = "route/router-transcript.txt";
    private static final int STEPS = 400;
    private static final int HASHED_RUNS = 60;

    private static Pool pool(String name, String site) {
        return new Pool(name, Set.of(site), Set.of(), Set.of(), List.of(), List.of(), true);
    }

    private static RoutePolicy policy(
            String name, RoutePolicy.RejectedRequests rejectedRequests, int attempts, boolean hedgingAllowed) {
        return new RoutePolicy(name, 700, attempts, 0.2, 1, hedgingAllowed, rejectedRequests, 20, 250);
    }

    private static Route route(String name, String key, String pool, String fallback, String policy) {
        return new Route(name, new Glob(key), Set.of(), Set.of(), Set.of(), pool, fallback, policy);
    }

    private static Routing routing(int version, boolean both) {
        Map<String, Pool> pools = new LinkedHashMap<>();
        pools.put("east", pool("east", "east"));
        Map<String, RoutePolicy> policies = new LinkedHashMap<>();
        policies.put("tight", policy("tight", RoutePolicy.RejectedRequests.NOTHING, 2, false));
        policies.put("reads-only", policy("reads-only", RoutePolicy.RejectedRequests.WRITES, 3, true));
        if (!both) {
            return new Routing(
                    "h" + version,
                    pools,
                    policies,
                    new RouteTable(List.of(route("x", "x*", "east", null, "reads-only"))));
        }
        pools.put("west", pool("west", "west"));
        return new Routing(
                "h" + version,
                pools,
                policies,
                new RouteTable(List.of(
                        route("e", "e*", "east", "west", null),
                        route("w", "w*", "west", "east", "tight"),
                        route("wa", "wa*", "west", "east", "reads-only"))));
    }

    /** Records each order and passes it on to the rig. */
    private static RoutingActions recorded(RouterRig rig, StringBuilder transcript) {
        return (RoutingActions) Proxy.newProxyInstance(
                RouterTranscriptTest.class.getClassLoader(), new Class<?>[] {RoutingActions.class}, (p, m, args) -> {
                    transcript.append("  ").append(m.getName());
                    for (Object argument : args == null ? new Object[0] : args) {
                        transcript.append(' ').append(argument);
                    }
                    transcript.append('\n');
                    return m.invoke(rig, args);
                });
    }

    private static String run(long seed) {
        StringBuilder transcript = new StringBuilder();
        Random random = new Random(seed);
        RouterRig rig = new RouterRig(routing(1, true), random.nextBoolean());
        rig.actions = recorded(rig, transcript);
        rig.fleet(2 + random.nextInt(6));
        int version = 1;
        for (int step = 0; step < STEPS; step++) {
            int event = random.nextInt(15);
            transcript.append(step).append(" event ").append(event).append('\n');
            switch (event) {
                case 0, 1, 2 ->
                    rig.request(random.nextInt(3), "ewxwa".charAt(random.nextInt(5)) + "" + random.nextInt(20));
                case 3, 4, 5 -> endOne(rig, random);
                case 12 -> rig.request(RouterRig.READ, "e" + random.nextInt(20));
                case 13 -> rig.router.onSettings(rig.now, rig.settings, rig.actions);
                case 6 -> rig.advance(random.nextInt(200));
                case 7 -> rig.updateList(EndpointUpdateKind.DELTA, List.of(change(rig, random)));
                case 8 -> {
                    if (random.nextInt(4) == 0) {
                        version++;
                        rig.router.replaceRoutes(rig.now, routing(version, version % 2 != 0), rig.actions);
                    }
                }
                case 9 -> {
                    if (!rig.requests.isEmpty()) {
                        rig.disconnect(1 + random.nextInt(rig.requests.size()));
                    }
                }
                case 10 ->
                    rig.router.onZoneDirectives(
                            rig.now,
                            List.of(new ZoneDirective(
                                    random.nextInt(2), random.nextInt(4) == 0 ? 0.5 : 1, random.nextBoolean(), false)),
                            rig.actions);
                case 11 -> answerHealthCheck(rig, random);
                default -> rig.advance(random.nextInt(20));
            }
            rig.runDeferred();
            if (step % 50 == 0) {
                appendStatus(rig.router, transcript);
                for (int server = 1; server <= 8; server++) {
                    transcript.append(rig.router.isAvoided(rig.now, server) ? " avoided" : " used");
                }
                transcript.append('\n');
            }
        }
        return transcript.toString();
    }

    private static void appendStatus(Router router, StringBuilder transcript) {
        router.pools()
                .forEach(p -> transcript.append("  pool %s: %d %d %s%n"
                        .formatted(p.name(), p.readyEndpoints(), p.openRequests(), p.draining())));
        router.routes()
                .forEach(r -> transcript.append("  route %s: %d %d %d %d%n"
                        .formatted(r.name(), r.requests(), r.fallbacks(), r.rejected(), r.throttledAttempts())));
    }

    private static void endOne(RouterRig rig, Random random) {
        if (!rig.inFlight.isEmpty()) {
            AttemptOutcome[] all = AttemptOutcome.values();
            AttemptOutcome outcome = all[random.nextInt(all.length)];
            rig.end(
                    rig.inFlight.get(random.nextInt(rig.inFlight.size())),
                    outcome == AttemptOutcome.MISS ? AttemptOutcome.OK : outcome);
        }
    }

    private static Endpoint change(RouterRig rig, Random random) {
        return RouterRig.endpoint(
                1 + random.nextInt(8),
                EndpointState.values()[random.nextInt(3)],
                random.nextBoolean() ? 0 : rig.now - random.nextInt(9000));
    }

    private static void answerHealthCheck(RouterRig rig, Random random) {
        if (!rig.healthChecks.isEmpty()) {
            rig.router.onHealthCheckResult(
                    rig.now,
                    rig.healthChecks.remove(0),
                    random.nextBoolean() ? AttemptOutcome.OK : AttemptOutcome.TIMEOUT,
                    5,
                    null,
                    rig.actions);
        }
    }

    private static String hash(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(Arrays.copyOf(digest, 8));
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void ordersAreAsRecorded() {
        StringBuilder all = new StringBuilder(run(1));
        for (int seed = 2; seed < HASHED_RUNS + 2; seed++) {
            all.append("seed ")
                    .append(seed)
                    .append(": ")
                    .append(hash(run(seed)))
                    .append('\n');
        }
        GoldenFile.assertText(EXPECTED, all.toString());
    }
}
