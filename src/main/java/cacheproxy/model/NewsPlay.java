package cacheproxy.model;

import cacheproxy.endpoints.CancelPoll;
import cacheproxy.endpoints.EndpointListPoller;
import cacheproxy.endpoints.PollAction;
import cacheproxy.endpoints.PollFailure;
import cacheproxy.endpoints.PollKind;
import cacheproxy.endpoints.PollerSettings;
import cacheproxy.endpoints.StartPoll;
import cacheproxy.gossip.AntiEntropy;
import cacheproxy.gossip.EndpointListDelta;
import cacheproxy.gossip.ListVersionGossip;
import cacheproxy.gossip.ListVersionGossip.Action;
import cacheproxy.gossip.ProvisionalEndpoints;
import cacheproxy.routing.CarpLoadBalancer;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingSettings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Measures how soon all instances learn of a change after calls for the list have failed. Each runs the production
 * decision module, list gossip and provisional membership, with one discovery service of low capacity, in virtual time.
 */
public final class NewsPlay {
    /** The discovery failure right before the change. */
    public enum Failure {
        /** No failure: all watches stay open. */
        NONE,
        /** All watches end at once. */
        WATCHES_END,
        /** All watches stop responding at once. */
        WATCHES_SILENT,
        /** Discovery rejects all calls for 8 s; the change happens when it accepts them again. */
        DOWN,
        /** Watches stop responding, then no call is answered for 8 s; the change happens when calls are again. */
        SILENT_CALLS,
        /** Watches end, new calls get no response for 4 s, and calls are rejected for 4 s more. */
        THREE_IN_A_ROW
    }

    /** What instances share with each other. */
    public enum Sharing {
        /** Nothing. */
        NONE,
        /** The version; an instance that lacks it abandons its call and calls again. */
        VERSIONS,
        /** The changes themselves. */
        CHANGES
    }

    /**
     * Parameters of a run.
     *
     * @param instances number of instances, at least 1
     * @param newCallsPerSecond capacity of discovery, for all instances together
     * @param seed the same seed gives the same run
     */
    public record Setup(int instances, Failure failure, Sharing sharing, double newCallsPerSecond, long seed) {}

    /**
     * Result of a run. Times count from when the change was made and discovery was available.
     *
     * @param medianMs until half of the instances knew
     * @param worstMs until the last one knew; infinite if it did not within a minute
     * @param newCallsASecond new calls of all instances per second, over the 10 s after the change
     * @param turnedAway the share of these that were rejected
     * @param messages datagrams that were sent in that time, to one receiver each
     */
    public record Result(double medianMs, double worstMs, double newCallsASecond, double turnedAway, long messages) {}

    private static final double START_MS = 1e12;
    private static final double OUTAGE_MS = 8000;
    private static final double WATCHED_MS = 60_000;
    private static final double COUNTED_MS = 10_000;
    private static final double PEER_LEAST_MS = 4;
    private static final double PEER_SPREAD_MS = 26;
    private static final double PEER_LOSS = 0.02;
    private static final int SERVER = 1;

    private final Setup setup;
    private final VirtualTime time = new VirtualTime(START_MS);
    private final SplittableRandom random;
    private final LineDiscovery discovery;
    private final Instance[] instances;
    private long messages;

    private NewsPlay(Setup setup) {
        this.setup = setup;
        random = new SplittableRandom(setup.seed());
        discovery = new LineDiscovery(time, setup.newCallsPerSecond());
        FleetDraw draw = FleetDraw.of(setup.instances(), Math.max(2, 2 * setup.instances()), setup.seed());
        instances = new Instance[setup.instances()];
        for (int i = 0; i < instances.length; i++) {
            instances[i] = new Instance(i, draw.settings(i));
        }
    }

    /** Runs the simulation. */
    public static Result of(Setup setup) {
        return new NewsPlay(setup).run();
    }

    private Result run() {
        Arrays.stream(instances).forEach(Instance::start);
        // Twice the time that discovery needs to answer each instance once, whatever its capacity.
        time.passTo(START_MS + 20_000 + 2000 * setup.instances() / setup.newCallsPerSecond());
        fail();
        int callsBefore = discovery.newCalls();
        int turnedAwayBefore = discovery.turnedAway();
        long messagesBefore = messages;
        double changedMs = time.now();
        discovery.change();
        time.passTo(changedMs + COUNTED_MS);
        int calls = discovery.newCalls() - callsBefore;
        double turnedAway = calls == 0 ? 0 : (discovery.turnedAway() - turnedAwayBefore) / (double) calls;
        long sent = messages - messagesBefore;
        time.passTo(changedMs + WATCHED_MS);
        double[] known = Arrays.stream(instances)
                .mapToDouble(i -> i.knownMs - changedMs)
                .sorted()
                .toArray();
        return new Result(
                known[known.length / 2], known[known.length - 1], calls * 1000 / COUNTED_MS, turnedAway, sent);
    }

    private void fail() {
        switch (setup.failure()) {
            case NONE -> {}
            case WATCHES_END -> discovery.endWatches();
            case WATCHES_SILENT -> discovery.forgetWatches();
            case DOWN -> {
                discovery.down(true);
                discovery.endWatches();
                time.passTo(time.now() + OUTAGE_MS);
                discovery.down(false);
            }
            case SILENT_CALLS -> {
                discovery.silent(true);
                discovery.forgetWatches();
                time.passTo(time.now() + OUTAGE_MS);
                discovery.silent(false);
            }
            case THREE_IN_A_ROW -> {
                discovery.silent(true);
                discovery.endWatches();
                time.passTo(time.now() + OUTAGE_MS / 2);
                discovery.silent(false);
                discovery.down(true);
                time.passTo(time.now() + OUTAGE_MS / 2);
                discovery.down(false);
            }
        }
    }

    private void post(Runnable heard) {
        messages++;
        if (random.nextDouble() >= PEER_LOSS) {
            time.after(PEER_LEAST_MS + PEER_SPREAD_MS * random.nextDouble(), heard);
        }
    }

    /** The part of a proxy that fetches the list and gossips about it. */
    private final class Instance implements RoutingActions, LineDiscovery.Caller {
        private final int me;
        private final CarpLoadBalancer policy;
        private final ListVersionGossip news;
        private final ProvisionalEndpoints membership = new ProvisionalEndpoints(FleetDraw.ORIGIN_KIND);
        private final List<Endpoint> list = new ArrayList<>();
        private long version = 1;
        private final EndpointListPoller calls;
        private final AntiEntropy antiEntropy = new AntiEntropy(START_MS);
        /** Calls in flight. */
        private final Set<Integer> out = new HashSet<>();

        private double plannedMs = Double.NaN;
        private double knownMs = Double.POSITIVE_INFINITY;

        Instance(int me, RoutingSettings settings) {
            this.me = me;
            policy = new CarpLoadBalancer(settings, random.nextLong());
            news = new ListVersionGossip(settings.instanceCount(), settings.instanceSeed(random.nextLong()));
            calls = new EndpointListPoller(
                    new PollerSettings(
                            settings.pollsDiscovery(),
                            settings.pollIntervalMs(),
                            settings.instanceCount(),
                            setup.sharing() == Sharing.CHANGES),
                    random.nextLong());
            list.add(server(EndpointState.READY));
            list.add(new Endpoint(SERVER + 1, 0, 0, 0, EndpointState.READY, 1, 0));
        }

        private Endpoint server(EndpointState state) {
            return new Endpoint(SERVER, 0, 0, 0, state, 1, 0);
        }

        void start() {
            news.start(version);
            membership.reset(version, list);
            policy.onEndpointUpdate(time.now(), EndpointUpdateKind.CACHED, list, this);
            queryWhenDue();
        }

        private void queryWhenDue() {
            time.after(Math.max(1, antiEntropy.nextTimerMs() - time.now()), () -> {
                if (antiEntropy.onTimer(time.now())) {
                    query();
                }
                queryWhenDue();
            });
        }

        // ---- calls, made as by the discovery client

        @Override
        public void setWatch(boolean on) {
            carryOut(on ? calls.start(time.now()) : calls.stop(), false);
        }

        private void carryOut(List<PollAction> orders, boolean afterAnAnswer) {
            for (PollAction order : orders) {
                if (order instanceof StartPoll begin) {
                    out.add(begin.id());
                    boolean goesOn = afterAnAnswer && begin.kind() == PollKind.WATCH && !begin.newConnection();
                    discovery.call(this, begin.id(), version, begin.waitMs(), goesOn);
                } else if (order instanceof CancelPoll giveUp) {
                    out.remove(giveUp.id());
                    discovery.giveUp(this, giveUp.id());
                    alert();
                }
            }
            double due = calls.nextTimerMs();
            if (due != Double.POSITIVE_INFINITY && due != plannedMs) {
                plannedMs = due;
                time.at(Math.max(due, time.now() + 0.01), () -> {
                    if (plannedMs == due) {
                        plannedMs = Double.NaN;
                        carryOut(calls.onTimer(time.now()), false);
                    }
                });
            }
        }

        @Override
        public void failed(int which) {
            if (out.remove(which)) {
                carryOut(calls.onFailure(time.now(), which, PollFailure.REJECTED), false);
                alert();
            }
        }

        @Override
        public void answered(int which, long told) {
            if (!out.remove(which)) {
                return;
            }
            antiEntropy.onDiscoveryResponse(time.now());
            boolean newer = told > version;
            List<Endpoint> changed = newer ? List.of(server(EndpointState.DRAINING)) : List.of();
            version = told;
            carryOut(news.onVersionApplied(time.now(), told));
            policy.onEndpointUpdate(
                    time.now(),
                    EndpointUpdateKind.DELTA,
                    membership.onDiscoveryUpdate(time.now(), told, false, changed),
                    this);
            know();
            carryOut(calls.onResponse(time.now(), which, newer), true);
        }

        private void know() {
            if (knownMs == Double.POSITIVE_INFINITY && Math.max(version, membership.knownVersion()) > 1) {
                knownMs = time.now();
            }
        }

        // ---- peers

        private void carryOut(Action order) {
            switch (order) {
                case ANNOUNCE -> tellAll();
                case POLL_DISCOVERY -> ask();
                case NONE, WAIT -> {}
            }
            if (order != Action.NONE && news.nextTimerMs() != Double.POSITIVE_INFINITY) {
                time.after(Math.max(0.01, news.nextTimerMs() - time.now()), () -> carryOut(news.onTimer(time.now())));
            }
        }

        private void tellAll() {
            EndpointListDelta update = membership.recentChanges();
            for (Instance peer : instances) {
                if (peer != this && setup.sharing() != Sharing.NONE) {
                    post(() -> peer.heard(update));
                }
            }
        }

        private void heard(EndpointListDelta update) {
            if (setup.sharing() == Sharing.CHANGES) {
                List<Endpoint> changed = membership.onPeerUpdate(time.now(), update);
                if (!changed.isEmpty()) {
                    policy.onEndpointUpdate(time.now(), EndpointUpdateKind.PROVISIONAL, changed, this);
                }
                know();
            }
            carryOut(news.onPeerVersion(time.now(), update.version()));
        }

        private void ask() {
            if (setup.sharing() == Sharing.CHANGES) {
                alert();
            } else {
                carryOut(calls.onPeerAhead(time.now()), false);
            }
        }

        private void alert() {
            if (antiEntropy.tryStartQuery(time.now())) {
                query();
            }
        }

        private void query() {
            if (setup.sharing() != Sharing.CHANGES || instances.length < 2) {
                return;
            }
            Instance peer = instances[AntiEntropy.randomPeer(random, me, instances.length)];
            long held = membership.knownVersion();
            post(() -> peer.membership.changesSince(time.now(), held).forEach(u -> post(() -> heard(u))));
        }

        // ---- the rest

        @Override
        public void setTimer(double afterMs, int token) {
            time.after(afterMs, () -> policy.onTimer(time.now(), token, this));
        }

        @Override
        public void send(int request, int server, double timeoutMs) {}

        @Override
        public void reject(int request, double retryAfterMs) {}

        @Override
        public void fail(int request) {}

        @Override
        public void cancel(int request, int attempt) {}

        @Override
        public void checkHealth(int server) {}

        @Override
        public void closeIdle(int server) {}

        @Override
        public void sendToPeer(int peer, byte[] message) {}

        @Override
        public void fetchEndpointList() {}

        @Override
        public void log(String line) {}
    }
}
