package cacheproxy;

import cacheproxy.RoutingApi.AttemptEnd;
import cacheproxy.RoutingApi.Effect;
import cacheproxy.RoutingApi.Group;
import cacheproxy.RoutingApi.ListKind;
import cacheproxy.RoutingApi.Member;
import cacheproxy.RoutingApi.Outcome;
import cacheproxy.RoutingApi.Reports;
import cacheproxy.RoutingApi.Request;
import cacheproxy.RoutingApi.ServiceClass;
import cacheproxy.RoutingApi.Settings;
import cacheproxy.RoutingApi.State;
import cacheproxy.RoutingApi.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One instance with its orders written down; time is a field the tests move. */
final class Rig implements RoutingApi.Actions {
    static final int ORIGIN = 9000;
    static final int SAFE = 0;
    static final int KEYED = 1;
    static final int UNSAFE = 2;

    /** A place order. */
    record Placed(int request, int attempt, int server, double timeoutMs) {}

    /** A timer order. */
    record Timer(double at, int token) {}

    final List<Placed> placed = new ArrayList<>();
    final List<Integer> denied = new ArrayList<>();
    final List<Integer> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<Integer> probed = new ArrayList<>();
    final List<Timer> timers = new ArrayList<>();
    final List<byte[]> told = new ArrayList<>();
    final List<String> orders = new ArrayList<>();
    final Map<Integer, Integer> attempts = new HashMap<>();
    final Policy policy;
    int watches;
    double now = 1000;

    Rig(Settings settings) {
        policy = new Policy(settings, 42);
    }

    static Settings settings(boolean aside, boolean ask, boolean copies, Group group) {
        return settings(aside, ask, copies, group, List.of(new Tenant("a", 1, 100)));
    }

    /** Two tenants with these quotas; what they send over them is worth a tenth. */
    static Settings tenants(double first, double second) {
        return settings(
                true, false, false, Group.ALL, List.of(new Tenant("a", 0.5, first), new Tenant("b", 0.5, second)));
    }

    /** The same, where what a tenant sends over its quota is worth this part. */
    static Settings worth(Settings s, double overShareWorth) {
        return with(s, s.me(), s.instances(), overShareWorth);
    }

    /** The same at one of so many instances. */
    static Settings at(Settings s, int me, int instances) {
        return with(s, me, instances, s.overShareWorth());
    }

    /** One of so many instances that may send each other messages. */
    static Rig peers(int me, int instances) {
        return new Rig(with(settings(true, false, false, Group.ALL), me, instances, 0.1, true));
    }

    private static Settings with(Settings s, int me, int instances, double overShareWorth) {
        return with(s, me, instances, overShareWorth, s.peers());
    }

    private static Settings with(Settings s, int me, int instances, double overShareWorth, boolean peers) {
        return new Settings(
                me,
                instances,
                s.zone(),
                s.zones(),
                s.kinds(),
                s.askForList(),
                s.aside(),
                s.originKind(),
                s.reports(),
                s.reportNames(),
                s.worthByWork(),
                overShareWorth,
                s.mayCancel(),
                s.mayProbe(),
                peers,
                s.secondCopies(),
                s.retryAdvice(),
                s.maxAttempts(),
                s.maxRetryAfterMs(),
                s.connectTimeoutMs(),
                s.drainGraceMs(),
                s.answerGraceMs(),
                s.startCapacity(),
                s.warmUpMs(),
                s.tipMultiple(),
                s.fallMs(),
                s.askWithinMs(),
                s.originFallMultiple(),
                s.originFallMs(),
                s.classes(),
                s.tenants());
    }

    private static Settings settings(boolean aside, boolean ask, boolean copies, Group group, List<Tenant> tenants) {
        List<ServiceClass> classes = List.of(
                new ServiceClass("read", Effect.SAFE, Group.ALL, 0, 300, 1000, 1, 0.2, false),
                new ServiceClass("save", Effect.KEYED, group, 400, 300, 1000, 1, 0.2, false),
                new ServiceClass("pay", Effect.UNSAFE, Group.ALL, 0, 300, 1000, 1, 0.2, false));
        return new Settings(
                0,
                4,
                0,
                2,
                2,
                ask,
                aside,
                aside ? 1 : -1,
                Reports.NONE,
                List.of(),
                false,
                0.1,
                true,
                true,
                false,
                copies,
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
                ask ? 10000 : 0,
                0,
                0,
                classes,
                tenants);
    }

    /** Aside mode, list pushed, no second copies: the ordinary case. */
    static Rig aside() {
        return new Rig(settings(true, false, false, Group.ALL));
    }

    static Member member(int id, State state, double born) {
        return new Member(id, id % 2, id == ORIGIN ? 1 : 0, id / 4, state, 1, born);
    }

    /** Servers 1 to n, and the origin, all ready for long. */
    Rig fleet(int n) {
        List<Member> list = new ArrayList<>();
        list.add(member(ORIGIN, State.READY, 0));
        for (int id = 1; id <= n; id++) {
            list.add(member(id, State.READY, 0));
        }
        policy.onList(now, ListKind.CACHED, list, this);
        return this;
    }

    void change(Member... members) {
        policy.onList(now, ListKind.CHANGES, List.of(members), this);
    }

    void read(int id, long key) {
        policy.onRequest(now, new Request(id, SAFE, 0, key, now + 1000, Double.NaN, 0, false, false), this);
    }

    /** A client asks again, and says so. */
    void readAgain(int id, long key) {
        policy.onRequest(now, new Request(id, SAFE, 0, key, now + 1000, Double.NaN, 0, false, true), this);
    }

    void write(int id, int serviceClass) {
        policy.onRequest(now, new Request(id, serviceClass, 0, 7, now + 1000, Double.NaN, 0, true, false), this);
    }

    Placed last() {
        return placed.get(placed.size() - 1);
    }

    void end(Placed p, Outcome outcome) {
        end(p, outcome, outcome == Outcome.OK, 0);
    }

    void end(Placed p, Outcome outcome, boolean over, int note) {
        policy.onAttemptEnd(
                now, new AttemptEnd(p.request(), p.attempt(), p.server(), outcome, 10, over, note, null), this);
    }

    /** Ends an attempt with its final answer after so long. */
    void endAfter(Placed p, Outcome outcome, double elapsedMs) {
        policy.onAttemptEnd(
                now, new AttemptEnd(p.request(), p.attempt(), p.server(), outcome, elapsedMs, true, 0, null), this);
    }

    /** Moves time on, firing the timers that come due, in order. */
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
            policy.onTimer(now, next.token(), this);
        }
        now = until;
    }

    int answers() {
        return denied.size() + failed.size();
    }

    @Override
    public void place(int request, int server, double timeoutMs) {
        int a = attempts.merge(request, 1, Integer::sum) - 1;
        placed.add(new Placed(request, a, server, timeoutMs));
        orders.add("place " + request + " " + server + " " + timeoutMs);
    }

    @Override
    public void deny(int request, double retryAfterMs) {
        denied.add(request);
        orders.add("deny " + request);
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
    public void probe(int server) {
        probed.add(server);
        orders.add("probe " + server);
    }

    @Override
    public void closeIdle(int server) {
        orders.add("close " + server);
    }

    @Override
    public void tell(int peer, byte[] message) {
        told.add(message);
        orders.add("tell " + peer);
    }

    @Override
    public void watch(boolean on) {
        watches++;
        orders.add("watch " + on);
    }

    @Override
    public void fetchList() {
        orders.add("fetch list");
    }

    @Override
    public void log(String line) {
        orders.add("log " + line);
    }
}
