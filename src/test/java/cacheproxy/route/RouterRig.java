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
 * A router as the dispatcher drives it, in virtual time: orders are written down, attempts numbered, timers fire in
 * order, and what no request may suffer is looked at as it happens.
 */
final class RouterRig implements RoutingActions {
    static final int ORIGIN = 9000;
    static final int READ = 0;
    static final int PUBLISH = 1;
    static final int FIX = 2;
    static final double GRACE_MS = 100;

    /** One attempt on its way. */
    record Out(int request, int attempt, int server, double at) {}

    /** What is known of a request. */
    static final class Asked {
        final int kind;
        final double due;
        final List<Integer> servers = new ArrayList<>();
        int out;
        boolean mayHaveRun;
        String answer;

        Asked(int kind, double due) {
            this.kind = kind;
            this.due = due;
        }
    }

    private record Timer(double at, long number, int token) {}

    final RoutingSettings settings;
    final Router router;
    /** Where the router's orders go: to the rig itself, or by way of someone who looks at them first. */
    RoutingActions actions = this;

    final Map<Integer, Asked> asked = new LinkedHashMap<>();
    final List<Out> out = new ArrayList<>();
    final Map<Integer, Endpoint> list = new HashMap<>();
    final Map<Integer, Double> toldToDrain = new HashMap<>();
    final List<Integer> probes = new ArrayList<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::at).thenComparingLong(Timer::number));
    private long timerNumber;
    private int next;
    int watches;
    double now = 1_000_000;

    RouterRig(Routing routing) {
        this(routing, true);
    }

    RouterRig(Routing routing, boolean copies) {
        List<ServiceClass> classes = List.of(
                new ServiceClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 1, 0.2, false),
                new ServiceClass("publish", Idempotency.KEYED, DeduplicationScope.ALL, 400, 300, 1000, 1, 0.2, false),
                new ServiceClass(
                        "fix", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 1, 0.2, false));
        // Writes go to the caches' own servers here, so that their second attempts can be looked at: no origin aside.
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
                copies,
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

    /** Servers 1 to n; odd ones stand in the west, and each is called {@code s-NUMBER}. */
    RouterRig fleet(int n) {
        List<Endpoint> members = new ArrayList<>();
        for (int i = 1; i <= n; i++) {
            members.add(new Endpoint(i, i % 2, 0, 0, EndpointState.READY, 1, 0));
        }
        return list(EndpointUpdateKind.CACHED, members);
    }

    RouterRig list(EndpointUpdateKind kind, List<Endpoint> members) {
        if (kind != EndpointUpdateKind.DELTA) {
            list.clear();
            toldToDrain.clear();
        }
        for (Endpoint m : members) {
            if (m.state() == EndpointState.REMOVED) {
                list.remove(m.id());
                toldToDrain.putIfAbsent(m.id(), now);
            } else {
                list.put(m.id(), m);
                router.updateAttributes(
                        m.id(),
                        new EndpointAttributes("s-" + m.id(), m.zone() == 0 ? "east" : "west", "node", Set.of()));
                if (m.state() == EndpointState.DRAINING) {
                    toldToDrain.putIfAbsent(m.id(), now);
                } else {
                    toldToDrain.remove(m.id());
                }
            }
        }
        router.onEndpointUpdate(now, kind, members, actions);
        return this;
    }

    static Endpoint member(int id, EndpointState state, double born) {
        return new Endpoint(id, id % 2, 0, 0, state, 1, born);
    }

    int ask(int kind, String key) {
        return ask(kind, key, 1000);
    }

    int ask(int kind, String key, double waitMs) {
        int id = ++next;
        asked.put(id, new Asked(kind, now + waitMs));
        router.onRequest(
                now,
                new Request(id, kind, 0, key.hashCode() | 1L << 40, now + waitMs, Double.NaN, 0, kind != READ, false),
                key,
                Routing.META_FRONT,
                actions);
        return id;
    }

    Asked of(int request) {
        return asked.get(request);
    }

    /** The attempt of a request that is out; there is one. */
    Out out(int request) {
        List<Out> own = out.stream().filter(o -> o.request() == request).toList();
        assertThat(own).as("attempts out of " + request).hasSize(1);
        return own.get(0);
    }

    void end(Out o, AttemptOutcome outcome) {
        assertThat(out.remove(o)).isTrue();
        Asked a = of(o.request());
        a.out--;
        a.mayHaveRun |= outcome.mayHaveRun();
        if (a.answer == null && (outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR)) {
            a.answer = "served";
        }
        router.onAttemptEnd(
                now,
                new AttemptEnd(o.request(), o.attempt(), o.server(), outcome, now - o.at(), a.answer != null, 0, null),
                actions);
    }

    void gone(int request) {
        Asked a = of(request);
        if (a.answer == null) {
            a.answer = "gone";
            router.onClientDisconnected(now, request, actions);
        }
    }

    /** Lets time pass; requests end at their due times as the dispatcher sees to. */
    void pass(double ms) {
        double until = now + ms;
        while (!timers.isEmpty() && timers.peek().at() <= until) {
            Timer t = timers.poll();
            now = Math.max(now, t.at());
            for (Out o : List.copyOf(out)) {
                if (of(o.request()).due <= now) {
                    end(o, AttemptOutcome.TIMEOUT);
                }
            }
            router.onTimer(now, t.token(), actions);
        }
        now = until;
    }

    private void answer(int request, String how) {
        Asked a = of(request);
        assertThat(a.answer).as("answers of " + request).isNull();
        a.answer = how;
    }

    @Override
    public void send(int request, int server, double timeoutMs) {
        Asked a = of(request);
        assertThat(a.answer).as("sent after the answer of " + request).isNull();
        if (a.kind != READ) {
            assertThat(a.out).as("attempts of a write at once").isZero();
            if (a.kind == FIX) {
                assertThat(a.mayHaveRun)
                        .as("a write that may have run is sent again")
                        .isFalse();
            }
        }
        assertThat(toldToDrain.get(server)).as("sent to a server that drains").isNull();
        assertThat(list).containsKey(server);
        out.add(new Out(request, a.servers.size(), server, now));
        a.servers.add(server);
        a.out++;
    }

    @Override
    public void reject(int request, double retryAfterMs) {
        Asked a = of(request);
        if (a.kind != READ) {
            assertThat(a.mayHaveRun || a.out > 0).as("refused and may have run").isFalse();
        }
        answer(request, "refused");
    }

    @Override
    public void fail(int request) {
        answer(request, "failed");
    }

    @Override
    public void cancel(int request, int attempt) {
        out.stream()
                .filter(o -> o.request() == request && o.attempt() == attempt)
                .findFirst()
                .ifPresent(o -> later.add(() -> {
                    if (out.contains(o)) {
                        end(o, AttemptOutcome.CANCELLED);
                    }
                }));
    }

    private final List<Runnable> later = new ArrayList<>();

    /** What the dispatcher tells after the event in whose course it was ordered. */
    void settle() {
        while (!later.isEmpty()) {
            later.remove(0).run();
        }
    }

    @Override
    public void setTimer(double afterMs, int token) {
        timers.add(new Timer(now + afterMs, ++timerNumber, token));
    }

    @Override
    public void checkHealth(int server) {
        probes.add(server);
    }

    @Override
    public void closeIdle(int server) {}

    @Override
    public void sendToPeer(int peer, byte[] message) {}

    @Override
    public void setWatch(boolean on) {
        watches++;
    }

    @Override
    public void fetchEndpointList() {}

    @Override
    public void log(String line) {}
}
