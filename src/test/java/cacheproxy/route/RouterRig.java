package cacheproxy.route;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.routing.AttemptEnd;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.DeduplicationScope;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.LoadReportSource;
import cacheproxy.routing.Request;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ServiceClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Drives a router in virtual time as the dispatcher does: records its orders, numbers attempts, fires timers in order,
 * and checks the safety rules at each order.
 */
final class RouterRig implements RoutingActions {
    static final int ORIGIN = 9000;
    static final int READ = 0;
    static final int KEYED = 1;
    static final int NON_IDEMPOTENT = 2;
    static final double GRACE_MS = 100;

    /** An attempt in flight. */
    record InFlightAttempt(int request, int attempt, int endpointId, double sentMs) {}

    /** A request as its client and the endpoints see it. */
    static final class TrackedRequest {
        final int serviceClass;
        final double deadlineMs;
        final List<Integer> endpoints = new ArrayList<>();
        int inFlight;
        boolean mayHaveRun;
        String answer;

        TrackedRequest(int serviceClass, double deadlineMs) {
            this.serviceClass = serviceClass;
            this.deadlineMs = deadlineMs;
        }
    }

    private record Timer(double at, long number, int token) {}

    final RoutingSettings settings;
    final Router router;
    /** Receives the router's orders: the rig itself, or an observer that passes them on. */
    RoutingActions actions = this;

    final Map<Integer, TrackedRequest> requests = new LinkedHashMap<>();
    final List<InFlightAttempt> inFlight = new ArrayList<>();
    final Map<Integer, Endpoint> endpoints = new HashMap<>();
    final Map<Integer, Double> drainingSince = new HashMap<>();
    final List<Integer> healthChecks = new ArrayList<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::at).thenComparingLong(Timer::number));
    private long timerNumber;
    private int lastId;
    int watchOrders;
    double now = 1_000_000;

    RouterRig(Routing routing) {
        this(routing, true);
    }

    RouterRig(Routing routing, boolean hedgingAllowed) {
        List<ServiceClass> classes = List.of(
                new ServiceClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 1, 0.2, false),
                new ServiceClass("publish", Idempotency.KEYED, DeduplicationScope.ALL, 400, 300, 1000, 1, 0.2, false),
                new ServiceClass(
                        "fix", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 1, 0.2, false));
        // Without cache-aside, writes go to the cache endpoints, so that their retries can be observed.
        settings = new RoutingSettings(
                0,
                4,
                0,
                2,
                2,
                true,
                false,
                -1,
                LoadReportSource.NONE,
                List.of(),
                false,
                1,
                true,
                true,
                false,
                hedgingAllowed,
                true,
                3,
                500,
                100,
                GRACE_MS,
                20,
                0.3,
                8000,
                3,
                2000,
                10_000,
                0,
                0,
                classes,
                List.of());
        router = new Router(settings, 42, routing);
    }

    /** Endpoints 1 to n; odd ones are in the west, and each host is named {@code s-NUMBER}. */
    RouterRig fleet(int n) {
        List<Endpoint> members = new ArrayList<>();
        for (int i = 1; i <= n; i++) {
            members.add(new Endpoint(i, i % 2, 0, 0, EndpointState.READY, 1, 0));
        }
        return updateList(EndpointUpdateKind.CACHED, members);
    }

    RouterRig updateList(EndpointUpdateKind kind, List<Endpoint> members) {
        if (kind != EndpointUpdateKind.DELTA) {
            endpoints.clear();
            drainingSince.clear();
        }
        for (Endpoint m : members) {
            if (m.state() == EndpointState.REMOVED) {
                endpoints.remove(m.id());
                drainingSince.putIfAbsent(m.id(), now);
            } else {
                endpoints.put(m.id(), m);
                router.updateAttributes(
                        m.id(),
                        new EndpointAttributes("s-" + m.id(), m.zone() == 0 ? "east" : "west", "node", Set.of()));
                if (m.state() == EndpointState.DRAINING) {
                    drainingSince.putIfAbsent(m.id(), now);
                } else {
                    drainingSince.remove(m.id());
                }
            }
        }
        router.onEndpointUpdate(now, kind, members, actions);
        return this;
    }

    static Endpoint endpoint(int id, EndpointState state, double startTimeMs) {
        return new Endpoint(id, id % 2, 0, 0, state, 1, startTimeMs);
    }

    int request(int serviceClass, String key) {
        return request(serviceClass, key, 1000);
    }

    int request(int serviceClass, String key, double waitMs) {
        int id = ++lastId;
        requests.put(id, new TrackedRequest(serviceClass, now + waitMs));
        router.onRequest(
                now,
                new Request(
                        id,
                        serviceClass,
                        0,
                        key.hashCode() | 1L << 40,
                        now + waitMs,
                        Double.NaN,
                        0,
                        serviceClass != READ,
                        false),
                key,
                Routing.META_FRONT,
                actions);
        return id;
    }

    TrackedRequest tracked(int request) {
        return requests.get(request);
    }

    /** The attempt of a request that is in flight; fails unless there is exactly one. */
    InFlightAttempt inFlight(int request) {
        List<InFlightAttempt> own =
                inFlight.stream().filter(o -> o.request() == request).toList();
        assertThat(own).as("attempts in flight of " + request).hasSize(1);
        return own.get(0);
    }

    void end(InFlightAttempt o, AttemptOutcome outcome) {
        assertThat(inFlight.remove(o)).isTrue();
        TrackedRequest tracked = tracked(o.request());
        tracked.inFlight--;
        tracked.mayHaveRun |= outcome.mayHaveRun();
        if (tracked.answer == null && (outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR)) {
            tracked.answer = "served";
        }
        router.onAttemptEnd(
                now,
                new AttemptEnd(
                        o.request(),
                        o.attempt(),
                        o.endpointId(),
                        outcome,
                        now - o.sentMs(),
                        tracked.answer != null,
                        0,
                        null),
                actions);
    }

    void disconnect(int request) {
        TrackedRequest tracked = tracked(request);
        if (tracked.answer == null) {
            tracked.answer = "disconnected";
            router.onClientDisconnected(now, request, actions);
        }
    }

    /** Advances time; ends attempts at the deadlines of their requests, as the dispatcher does. */
    void advance(double ms) {
        double until = now + ms;
        while (!timers.isEmpty() && timers.peek().at() <= until) {
            Timer t = timers.poll();
            now = Math.max(now, t.at());
            for (InFlightAttempt o : List.copyOf(inFlight)) {
                if (tracked(o.request()).deadlineMs <= now) {
                    end(o, AttemptOutcome.TIMEOUT);
                }
            }
            router.onTimer(now, t.token(), actions);
        }
        now = until;
    }

    private void answer(int request, String how) {
        TrackedRequest tracked = tracked(request);
        assertThat(tracked.answer).as("answers of " + request).isNull();
        tracked.answer = how;
    }

    @Override
    public void send(int request, int server, double timeoutMs) {
        TrackedRequest tracked = tracked(request);
        assertThat(tracked.answer).as("sent after the answer of " + request).isNull();
        if (tracked.serviceClass != READ) {
            assertThat(tracked.inFlight).as("concurrent attempts of a write").isZero();
            if (tracked.serviceClass == NON_IDEMPOTENT) {
                assertThat(tracked.mayHaveRun)
                        .as("a write that may have run is retried")
                        .isFalse();
            }
        }
        assertThat(drainingSince.get(server)).as("sent to a draining endpoint").isNull();
        assertThat(endpoints).containsKey(server);
        inFlight.add(new InFlightAttempt(request, tracked.endpoints.size(), server, now));
        tracked.endpoints.add(server);
        tracked.inFlight++;
    }

    @Override
    public void reject(int request, double retryAfterMs) {
        TrackedRequest tracked = tracked(request);
        if (tracked.serviceClass != READ) {
            assertThat(tracked.mayHaveRun || tracked.inFlight > 0)
                    .as("rejected although it may have run")
                    .isFalse();
        }
        answer(request, "rejected");
    }

    @Override
    public void fail(int request) {
        answer(request, "failed");
    }

    @Override
    public void cancel(int request, int attempt) {
        inFlight.stream()
                .filter(o -> o.request() == request && o.attempt() == attempt)
                .findFirst()
                .ifPresent(o -> deferred.add(() -> {
                    if (inFlight.contains(o)) {
                        end(o, AttemptOutcome.CANCELLED);
                    }
                }));
    }

    private final List<Runnable> deferred = new ArrayList<>();

    /** Delivers the notifications that the dispatcher sends after the event with the order. */
    void runDeferred() {
        while (!deferred.isEmpty()) {
            deferred.remove(0).run();
        }
    }

    @Override
    public void setTimer(double afterMs, int token) {
        timers.add(new Timer(now + afterMs, ++timerNumber, token));
    }

    @Override
    public void checkHealth(int server) {
        healthChecks.add(server);
    }

    @Override
    public void closeIdle(int server) {}

    @Override
    public void sendToPeer(int peer, byte[] message) {}

    @Override
    public void setWatch(boolean on) {
        watchOrders++;
    }

    @Override
    public void fetchEndpointList() {}

    @Override
    public void log(String line) {}
}
