package cacheproxy.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A load balancer with a manual clock, which records the actions it issues. */
final class LoadBalancerHarness implements RoutingActions {
    static final int ORIGIN = 9000;
    static final int IDEMPOTENT = 0;
    static final int KEYED = 1;
    static final int NON_IDEMPOTENT = 2;

    /** A call of {@link #send}. */
    record SentAttempt(int request, int attempt, int server, double timeoutMs) {}

    /** A call of {@link #setTimer}. */
    record Timer(double at, int token) {}

    final List<SentAttempt> sent = new ArrayList<>();
    final List<Integer> rejected = new ArrayList<>();
    final List<Integer> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<Integer> healthChecked = new ArrayList<>();
    final List<Timer> timers = new ArrayList<>();
    final List<byte[]> peerMessages = new ArrayList<>();
    final List<String> orders = new ArrayList<>();
    final Map<Integer, Integer> attempts = new HashMap<>();
    final CarpLoadBalancer loadBalancer;
    int watches;
    double now = 1000;

    LoadBalancerHarness(RoutingSettings settings) {
        loadBalancer = new CarpLoadBalancer(settings, 42);
    }

    static RoutingSettings settings(boolean cacheAside, boolean polls, boolean hedging, DeduplicationScope group) {
        return settings(cacheAside, polls, hedging, group, List.of(new Tenant("a", 1, 100)));
    }

    /** Two tenants with these quotas; a request over quota has a tenth of the value. */
    static RoutingSettings tenants(double first, double second) {
        return settings(
                true,
                false,
                false,
                DeduplicationScope.ALL,
                List.of(new Tenant("a", 0.5, first), new Tenant("b", 0.5, second)));
    }

    /** The same settings, with this fraction of the value for a request over quota. */
    static RoutingSettings withOverQuotaWeight(RoutingSettings s, double overQuotaWeight) {
        return with(s, s.instanceIndex(), s.instanceCount(), overQuotaWeight);
    }

    /** The same settings for the instance with this index, in a fleet of this size. */
    static RoutingSettings atInstance(RoutingSettings s, int index, int instances) {
        return with(s, index, instances, s.overQuotaPriorityWeight());
    }

    /** The instance with this index, in a fleet of this size whose instances may send each other messages. */
    static LoadBalancerHarness withPeers(int index, int instances) {
        return new LoadBalancerHarness(
                with(settings(true, false, false, DeduplicationScope.ALL), index, instances, 0.1, true));
    }

    private static RoutingSettings with(RoutingSettings s, int index, int instances, double overQuotaWeight) {
        return with(s, index, instances, overQuotaWeight, s.peerMessagesAllowed());
    }

    private static RoutingSettings with(
            RoutingSettings s, int index, int instances, double overQuotaWeight, boolean peers) {
        return new RoutingSettings(
                index,
                instances,
                s.zone(),
                s.zoneCount(),
                s.kindCount(),
                s.pollsDiscovery(),
                s.cacheAside(),
                s.originKind(),
                s.loadReportSource(),
                s.loadReportFields(),
                s.priorityByWork(),
                overQuotaWeight,
                s.cancellationAllowed(),
                s.healthChecksAllowed(),
                peers,
                s.hedgingAllowed(),
                s.retryAfterSupported(),
                s.maxAttempts(),
                s.maxRetryAfterMs(),
                s.connectTimeoutMs(),
                s.drainGraceMs(),
                s.finalAnswerGraceMs(),
                s.initialCapacity(),
                s.warmUpMs(),
                s.overloadMultiple(),
                s.overloadWindowMs(),
                s.pollIntervalMs(),
                s.originOverloadMultiple(),
                s.originOverloadWindowMs(),
                s.classes(),
                s.tenants());
    }

    private static RoutingSettings settings(
            boolean cacheAside, boolean polls, boolean hedging, DeduplicationScope group, List<Tenant> tenants) {
        List<ServiceClass> classes = List.of(
                new ServiceClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 1, 0.2, false),
                new ServiceClass("save", Idempotency.KEYED, group, 400, 300, 1000, 1, 0.2, false),
                new ServiceClass(
                        "pay", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 1, 0.2, false));
        return new RoutingSettings(
                0,
                4,
                0,
                2,
                2,
                polls,
                cacheAside,
                cacheAside ? 1 : -1,
                LoadReportSource.NONE,
                List.of(),
                false,
                0.1,
                true,
                true,
                false,
                hedging,
                true,
                3,
                500,
                100,
                500,
                20,
                0.3,
                8000,
                3,
                2000,
                polls ? 10000 : 0,
                0,
                0,
                classes,
                tenants);
    }

    /** A cache-aside deployment with a pushed endpoint list and without hedging. */
    static LoadBalancerHarness cacheAside() {
        return new LoadBalancerHarness(settings(true, false, false, DeduplicationScope.ALL));
    }

    static Endpoint endpoint(int id, EndpointState state, double startTimeMs) {
        return new Endpoint(id, id % 2, id == ORIGIN ? 1 : 0, id / 4, state, 1, startTimeMs);
    }

    /** Adds the endpoints 1 to n and the origin, all ready and warm. */
    LoadBalancerHarness fleet(int n) {
        List<Endpoint> list = new ArrayList<>();
        list.add(endpoint(ORIGIN, EndpointState.READY, 0));
        for (int id = 1; id <= n; id++) {
            list.add(endpoint(id, EndpointState.READY, 0));
        }
        loadBalancer.onEndpointUpdate(now, EndpointUpdateKind.CACHED, list, this);
        return this;
    }

    /** The endpoint with the highest score for a key, among the endpoints 1 to n with equal weights. */
    static int topRank(long key, int n) {
        int best = 0;
        double bestScore = -1;
        for (int id = 1; id <= n; id++) {
            double score = CarpHash.score(CarpHash.keyHash(key), CarpHash.endpointHash(id), 1);
            if (score > bestScore) {
                best = id;
                bestScore = score;
            }
        }
        return best;
    }

    void change(Endpoint... members) {
        loadBalancer.onEndpointUpdate(now, EndpointUpdateKind.DELTA, List.of(members), this);
    }

    void read(int id, long key) {
        loadBalancer.onRequest(now, new Request(id, IDEMPOTENT, 0, key, now + 1000, Double.NaN, 0, false, false), this);
    }

    /** A read that the client marks as a retry. */
    void clientRetry(int id, long key) {
        loadBalancer.onRequest(now, new Request(id, IDEMPOTENT, 0, key, now + 1000, Double.NaN, 0, false, true), this);
    }

    void write(int id, int serviceClass) {
        loadBalancer.onRequest(now, new Request(id, serviceClass, 0, 7, now + 1000, Double.NaN, 0, true, false), this);
    }

    SentAttempt last() {
        return sent.get(sent.size() - 1);
    }

    void end(SentAttempt p, AttemptOutcome outcome) {
        end(p, outcome, outcome == AttemptOutcome.OK, 0);
    }

    void end(SentAttempt p, AttemptOutcome outcome, boolean requestCompleted, int note) {
        loadBalancer.onAttemptEnd(
                now,
                new AttemptEnd(p.request(), p.attempt(), p.server(), outcome, 10, requestCompleted, note, null),
                this);
    }

    /** Ends an attempt after this time, with the request's final answer. */
    void endAfter(SentAttempt p, AttemptOutcome outcome, double elapsedMs) {
        loadBalancer.onAttemptEnd(
                now, new AttemptEnd(p.request(), p.attempt(), p.server(), outcome, elapsedMs, true, 0, null), this);
    }

    /** Advances the clock and fires the timers that expire, in order. */
    void pass(double ms) {
        double until = now + ms;
        while (true) {
            Timer next = null;
            for (Timer t : timers) {
                if (t.at() <= until && (next == null || t.at() < next.at())) {
                    next = t;
                }
            }
            if (next == null) {
                break;
            }
            timers.remove(next);
            now = Math.max(now, next.at());
            loadBalancer.onTimer(now, next.token(), this);
        }
        now = until;
    }

    int answers() {
        return rejected.size() + failed.size();
    }

    @Override
    public void send(int request, int server, double timeoutMs) {
        int a = attempts.merge(request, 1, Integer::sum) - 1;
        sent.add(new SentAttempt(request, a, server, timeoutMs));
        orders.add("send " + request + " " + server + " " + timeoutMs);
    }

    @Override
    public void reject(int request, double retryAfterMs) {
        rejected.add(request);
        orders.add("reject " + request);
    }

    @Override
    public void fail(int request) {
        failed.add(request);
        orders.add("fail " + request);
    }

    @Override
    public void cancel(int request, int attempt) {
        cancelled.add(request + "/" + attempt);
        orders.add("cancel " + request + "/" + attempt);
    }

    @Override
    public void setTimer(double afterMs, int token) {
        timers.add(new Timer(now + afterMs, token));
        orders.add("timer " + afterMs + " " + token);
    }

    @Override
    public void checkHealth(int server) {
        healthChecked.add(server);
        orders.add("check " + server);
    }

    @Override
    public void closeIdle(int server) {
        orders.add("close " + server);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        peerMessages.add(message);
        orders.add("message " + peer);
    }

    @Override
    public void setWatch(boolean on) {
        watches++;
        orders.add("watch " + on);
    }

    @Override
    public void fetchEndpointList() {
        orders.add("fetch list");
    }

    @Override
    public void log(String line) {
        orders.add("log " + line);
    }
}
