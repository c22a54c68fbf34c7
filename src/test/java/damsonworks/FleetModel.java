package damsonworks;

import damsonworks.RoutingApi.AttemptEnd;
import damsonworks.RoutingApi.ListKind;
import damsonworks.RoutingApi.Member;
import damsonworks.RoutingApi.Outcome;
import damsonworks.RoutingApi.Request;
import damsonworks.RoutingApi.Settings;
import damsonworks.RoutingApi.State;
import damsonworks.peer.ListNews;
import damsonworks.peer.ListNews.Order;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A tier of instances before one fleet in virtual time: the real decision modules, and models of what they share: nodes
 * with few places, one slow origin, and a discovery that takes so many calls a second. Counts over all instances. The same
 * seed gives the same run. One connection carries one attempt at a time, up to an instance's part of a node's places.
 */
final class FleetModel {
    static final int NODES = 60;
    static final double PER_SECOND = 1500;
    private static final int KEYS = 6000;
    static final int PLACES = 32;
    private static final int QUEUE = 40;
    private static final double NODE_MS = 2;
    private static final double ORIGIN_MS = 25;
    private static final int ORIGIN_SLOTS = 12;
    private static final int ORIGIN_QUEUE = 60;
    private static final double CALL_MS = 5;
    private static final double LINK_MS = 0.3;
    private static final double WATCH_MS = 10_000;
    private static final double IDLE_MS = 12_000;
    /** A watch of this share of all falls silent when it begins. */
    private static final double SILENT = 0.1;
    private static final double DUE_MS = 1000;
    private static final double START_MS = 1000;

    /** What all instances together have done. */
    static final class Count {
        int calls;
        int callsRefused;
        int connections;
        int placesRefused;
        int messages;
        int secondCopies;
        int attempts;
        int requests;
        int served;
        int refused;
        int failed;
        int fetches;
        int fetchesOfOneKey;
        /** The most calls for the list in one second. */
        int callsInASecond;

        private final int[] callsBySecond = new int[120];
    }

    private static final class Node {
        int id;
        double bornMs;
        int open;
        double freeAt;
        int waiting;
        boolean silent;
        final Set<Long> held = new HashSet<>();
    }

    /** One connection's work at a time; those that stand idle for long are ended, as the proxy does. */
    private static final class Link {
        int open;
        int used;
        double usedMs;
    }

    private static final class Asked {
        final Request request;
        final List<Integer> servers = new ArrayList<>();
        int out;
        boolean over;

        Asked(Request request) {
            this.request = request;
        }
    }

    private final class Instance implements RoutingApi.Actions {
        final int me;
        Policy policy;
        ListNews news;
        final Map<Integer, Asked> asked = new HashMap<>();
        final Map<Integer, Link> links = new HashMap<>();
        int life;
        long version;
        boolean silent;
        int watch;

        Instance(int me) {
            this.me = me;
            begin();
        }

        /** Starts, or starts again after it was killed, with the list that was kept. */
        void begin() {
            life++;
            policy = new Policy(Rig.at(settings, me, instances.length), 42);
            news = new ListNews(instances.length, settings.ownSeed(42) + me);
            news.begin(version);
            asked.clear();
            links.forEach((id, link) -> {
                Node n = byId.get(id);
                if (n != null) {
                    n.open -= link.open;
                }
            });
            links.clear();
            policy.onList(time.now(), ListKind.CACHED, version == 0 ? list() : kept, this);
        }

        /** What only this life of it is to hear of. */
        void later(double ms, Runnable what) {
            int mine = life;
            after(ms, () -> {
                if (mine == life) {
                    what.run();
                }
            });
        }

        void request(int id) {
            boolean write = random.nextInt(20) == 0;
            long key = 1 + (long) (KEYS * Math.pow(random.nextDouble(), 2));
            Request r = new Request(id, write ? Rig.KEYED : Rig.SAFE, 0, key, time.now() + DUE_MS, Double.NaN, 0, write, false);
            count.requests++;
            asked.put(id, new Asked(r));
            policy.onRequest(time.now(), r, this);
        }

        @Override
        public void place(int request, int server, double timeoutMs) {
            Asked a = asked.get(request);
            int index = a.servers.size();
            a.servers.add(server);
            if (a.out++ > 0) {
                count.secondCopies++;
            }
            count.attempts++;
            double left = a.request.dueMs() - time.now();
            double sent = time.now();
            later(timeoutMs > 0 ? Math.min(timeoutMs, left) : left, () -> end(request, index, Outcome.TIMEOUT, sent));
            if (server == Rig.ORIGIN) {
                fetch(a, index, sent);
            } else {
                ask(a, index, byId.get(server), sent);
            }
        }

        private void ask(Asked a, int index, Node n, double sent) {
            int request = a.request.id();
            if (n == null) { // gone, and this instance has yet to hear of it
                later(LINK_MS, () -> end(request, index, Outcome.CONNECT_FAILED, sent));
                return;
            }
            Link link = links.computeIfAbsent(n.id, id -> new Link());
            link.usedMs = time.now();
            if (link.used == link.open && link.open < Math.max(1, 28 / instances.length) || link.open == 0) {
                if (n.open == PLACES) {
                    count.placesRefused++;
                    if (link.open == 0) {
                        later(2 * LINK_MS, () -> end(request, index, Outcome.NO_PLACE, sent));
                        return;
                    }
                } else {
                    n.open++;
                    link.open++;
                    count.connections++;
                }
            }
            if (n.silent) {
                return; // the time-out, or the module, ends it
            }
            if (n.waiting >= QUEUE) {
                later(2 * LINK_MS, () -> end(request, index, Outcome.FULL, sent));
                return;
            }
            link.used++;
            n.waiting++;
            double warm = n.bornMs == 0 ? 1 : Math.min(1, 0.3 + 0.7 * (time.now() - n.bornMs) / settings.warmUpMs());
            n.freeAt = Math.max(n.freeAt, time.now()) + NODE_MS / warm;
            int mine = life;
            after(n.freeAt - time.now() + LINK_MS, () -> {
                n.waiting--;
                if (mine == life) {
                    link.used--;
                    end(request, index, n.held.contains(a.request.key()) ? Outcome.OK : Outcome.MISS, sent);
                }
            });
        }

        private void fetch(Asked a, int index, double sent) {
            int request = a.request.id();
            if (originQueue >= ORIGIN_QUEUE) {
                later(2 * LINK_MS, () -> end(request, index, Outcome.FULL, sent));
                return;
            }
            long key = a.request.key();
            count.fetches++;
            if (!a.request.write() && fetching.merge(key, 1, Integer::sum) > 1) {
                count.fetchesOfOneKey++;
            }
            originQueue++;
            int slot = 0;
            for (int i = 1; i < slots.length; i++) {
                slot = slots[i] < slots[slot] ? i : slot;
            }
            slots[slot] = Math.max(slots[slot], time.now()) + ORIGIN_MS * (0.5 + random.nextDouble());
            int mine = life;
            after(slots[slot] - time.now(), () -> {
                originQueue--;
                if (!a.request.write()) {
                    fetching.computeIfPresent(key, (k, n) -> n == 1 ? null : n - 1);
                    for (int s : a.servers) {
                        Node n = byId.get(s);
                        if (n != null) {
                            n.held.add(key);
                        }
                    }
                }
                if (mine == life) {
                    end(request, index, Outcome.OK, sent);
                }
            });
        }

        private void end(int request, int index, Outcome outcome, double sent) {
            Asked a = asked.get(request);
            if (a == null || a.servers.get(index) == -1) {
                return;
            }
            int server = a.servers.set(index, -1);
            a.out--;
            boolean last = outcome == Outcome.OK && !a.over;
            if (last) {
                a.over = true;
                count.served++;
            }
            policy.onAttemptEnd(time.now(), new AttemptEnd(request, index, server, outcome, time.now() - sent, last, 0, null), this);
            if (a.over && a.out == 0) {
                asked.remove(request);
            }
        }

        private void answered(int request) {
            Asked a = asked.get(request);
            if (a == null || a.over) {
                throw new AssertionError("a second final answer to request " + request);
            }
            a.over = true;
            if (a.out == 0) {
                asked.remove(request);
            }
        }

        @Override
        public void deny(int request, double retryAfterMs) {
            answered(request);
            count.refused++;
        }

        @Override
        public void fail(int request) {
            answered(request);
            count.failed++;
        }

        @Override
        public void cancel(int request, int attempt) {
            double sent = time.now();
            later(0, () -> end(request, attempt, Outcome.CANCELLED, sent));
        }

        @Override
        public void setTimer(double afterMs, int token) {
            later(afterMs, () -> policy.onTimer(time.now(), token, this));
        }

        @Override
        public void watch(boolean on) {
            call();
        }

        /** Asks discovery, and goes on listening for a while. */
        private void call() {
            count.calls++;
            count.callsBySecond[(int) (time.now() / 1000)]++;
            int mine = ++watch;
            later(CALL_MS, () -> {
                if (mine != watch) {
                    return;
                }
                calls = Math.min(callsPerSecond, calls + callsPerSecond * (time.now() - callsAt) / 1000);
                callsAt = time.now();
                if (calls < 1) {
                    count.callsRefused++;
                    silent = true;
                    policy.onList(time.now(), ListKind.FAILED, List.of(), this);
                    return;
                }
                calls--;
                silent = random.nextDouble() < SILENT;
                told(ListKind.FULL, list());
                later(WATCH_MS * (0.7 + 0.6 * random.nextDouble()), () -> {
                    if (mine == watch) {
                        call();
                    }
                });
            });
        }

        void told(ListKind kind, List<Member> members) {
            version = listVersion;
            policy.onList(time.now(), kind, members, this);
            carryOut(news.held(time.now(), version));
        }

        void carryOut(Order order) {
            switch (order) {
                case TELL -> {
                    long told = version;
                    for (Instance other : instances) {
                        if (other != this) {
                            count.messages++;
                            other.later(5 + 25 * random.nextDouble(), () -> other.carryOut(other.news.heard(time.now(), told)));
                        }
                    }
                }
                case ASK -> call();
                case NONE, WAIT -> { }
            }
            if (order != Order.NONE && news.dueMs() != Double.POSITIVE_INFINITY) {
                later(Math.max(0.01, news.dueMs() - time.now()), () -> carryOut(news.due(time.now())));
            }
        }

        @Override
        public void probe(int server) { }

        @Override
        public void closeIdle(int server) { }

        @Override
        public void tell(int peer, byte[] message) { }

        @Override
        public void fetchList() { }

        @Override
        public void log(String line) { }

        private void sweep() {
            links.forEach((id, link) -> {
                Node n = byId.get(id);
                if (time.now() - link.usedMs > IDLE_MS && n != null && link.used == 0) {
                    n.open -= link.open;
                    link.open = 0;
                }
            });
            links.keySet().retainAll(byId.keySet());
        }
    }

    final Count count = new Count();
    private final Settings settings = Rig.settings(true, true, true, RoutingApi.Group.ALL);
    private final SplittableRandom random;
    private final VirtualTime time = new VirtualTime(START_MS);
    private final List<Node> nodes = new ArrayList<>();
    private final Map<Integer, Node> byId = new HashMap<>();
    private final Map<Long, Integer> fetching = new HashMap<>();
    private final double[] slots = new double[ORIGIN_SLOTS];
    private final Instance[] instances;
    private List<Member> kept;
    private long listVersion = 1;
    private int originQueue;
    private double callsPerSecond = 20;
    private double calls = callsPerSecond;
    private double callsAt;
    private int nextNode = 1;
    private int nextRequest = 1;

    FleetModel(int many, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < NODES; i++) {
            nodes.add(node(0));
            for (long key = 1; key <= KEYS; key++) {
                nodes.get(i).held.add(key);
            }
        }
        kept = list();
        instances = new Instance[many];
        for (int i = 0; i < many; i++) {
            instances[i] = new Instance(i);
        }
    }

    private Node node(double bornMs) {
        Node n = new Node();
        n.id = nextNode++;
        n.bornMs = bornMs;
        byId.put(n.id, n);
        return n;
    }

    private List<Member> list() {
        List<Member> list = new ArrayList<>();
        list.add(Rig.member(Rig.ORIGIN, State.READY, 0));
        nodes.forEach(n -> list.add(Rig.member(n.id, State.READY, n.bornMs)));
        return list;
    }

    private void after(double ms, Runnable what) {
        time.after(ms, what);
    }

    void at(double seconds, Runnable what) {
        time.at(START_MS + seconds * 1000, what);
    }

    /** Requests come at random, each to some instance, for so long; those that are out are seen to their end. */
    FleetModel run(double seconds) {
        double until = START_MS + seconds * 1000;
        after(0, () -> arrive(until));
        after(1000, () -> sweep(until));
        time.passTo(until + 2 * DUE_MS);
        for (Instance i : instances) {
            if (i.asked.values().stream().anyMatch(a -> !a.over)) {
                throw new AssertionError("a request without an answer");
            }
        }
        count.callsInASecond = Arrays.stream(count.callsBySecond).max().orElseThrow();
        return this;
    }

    private void arrive(double until) {
        if (time.now() < until) {
            instances[random.nextInt(instances.length)].request(nextRequest++);
            after(-Math.log(1 - random.nextDouble()) * 1000 / PER_SECOND, () -> arrive(until));
        }
    }

    private void sweep(double until) {
        for (Instance i : instances) {
            i.sweep();
        }
        if (time.now() < until) {
            after(1000, () -> sweep(until));
        }
    }

    // ---- what happens to it

    /** Kills this share of the instances at once; they start again with the list that was kept. */
    void release(double share) {
        kept = list();
        for (int i = 0; i < Math.max(1, Math.round(instances.length * share)); i++) {
            instances[i].begin();
        }
    }

    /** Discovery takes so many calls a second from now on, and turns the others away. */
    void discovery(double perSecond) {
        callsPerSecond = perSecond;
        calls = Math.min(calls, perSecond);
    }

    /** The versions of the list that the instances hold; 0: none but the kept one. */
    List<Long> versions() {
        return Arrays.stream(instances).map(i -> i.version).toList();
    }

    /** So many nodes answer nothing for so long. */
    void silence(int many, double ms) {
        List<Node> bad = List.copyOf(nodes.subList(0, many));
        bad.forEach(n -> n.silent = true);
        after(ms, () -> bad.forEach(n -> n.silent = false));
    }

    /** One node goes and a cold, empty one takes its part; whoever watches is told. */
    void replace() {
        Node gone = nodes.remove(random.nextInt(nodes.size()));
        byId.remove(gone.id);
        Node came = node(time.now());
        nodes.add(came);
        listVersion++;
        List<Member> change = List.of(Rig.member(gone.id, State.GONE, gone.bornMs), Rig.member(came.id, State.READY, time.now()));
        for (Instance i : instances) {
            if (!i.silent && i.watch > 0) {
                i.later(CALL_MS * random.nextDouble(), () -> i.told(ListKind.CHANGES, change));
            }
        }
    }
}
