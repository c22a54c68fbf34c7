package cacheproxy.model;

import cacheproxy.gossip.Envelope;
import cacheproxy.gossip.MembershipBudget;
import cacheproxy.gossip.SendBudget;
import cacheproxy.membership.Member;
import cacheproxy.membership.MemberState;
import cacheproxy.membership.Membership;
import cacheproxy.membership.MembershipSettings;
import cacheproxy.membership.OutgoingMessage;
import cacheproxy.membership.ServicePhase;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.IntPredicate;

/**
 * Simulates membership in virtual time, with the production {@code Membership}. Messages are lost, delayed or
 * partitioned. All instances share one clock; a process may crash, restart or pause.
 */
public final class ViewPlay {
    /** Send rate limit of an instance, as in the proxy. */
    public static final double BYTES_PER_SECOND = 2000;
    /** Largest burst that an instance may send, in bytes. */
    public static final double BURST = 6000;

    private static final int ZONES = 4;
    private static final double START_MS = 1000;

    private final class Instance {
        final int id;
        Membership members;
        SendBudget outbox;
        double stoppedUntilMs;
        long bytes;
        /** Number of the last timer; events of earlier timers are void. */
        long waits;

        private final List<Runnable> missed = new ArrayList<>();

        Instance(int id) {
            this.id = id;
        }

        void start(long remembered) {
            outbox = new SendBudget(BYTES_PER_SECOND, BURST);
            members = new Membership(
                    settings, id, id % ZONES, new byte[0], remembered, random.nextLong(), new MembershipBudget(outbox));
            members.setPhase(ServicePhase.SERVING);
            go();
        }

        void go() {
            long mine = ++waits;
            members.tick(time.now());
            for (OutgoingMessage s : members.takeOutgoing()) {
                bytes += Envelope.datagramBytes(s.body().length);
                post(id, s.to(), s.body());
            }
            watch(this);
            double due = members.dueMs();
            if (due < Double.POSITIVE_INFINITY) {
                time.at(Math.max(time.now() + 0.01, due), () -> {
                    if (members != null && waits == mine) {
                        whenAwake(this::go);
                    }
                });
            }
        }

        void whenAwake(Runnable what) {
            if (time.now() < stoppedUntilMs) {
                missed.add(what);
            } else {
                what.run();
            }
        }

        void wakeUp() {
            List<Runnable> all = List.copyOf(missed);
            missed.clear();
            all.forEach(Runnable::run);
        }
    }

    private final MembershipSettings settings;
    private final VirtualTime time = new VirtualTime(0);
    private final SplittableRandom random;
    private final List<Instance> instances = new ArrayList<>();
    private final double loss;
    private final double twice;
    private double zoneMs;
    private IntPredicate side = i -> true;
    private boolean cut;
    private boolean oneWay;
    /** Instances declared dead though running and reachable, by id and incarnation. */
    private final Set<String> falseDeaths = new HashSet<>();

    private double quietFromMs = Double.POSITIVE_INFINITY;

    /**
     * Creates instances that start within a second.
     *
     * @param loss share of messages lost, 0 to 1
     * @param twice share of messages duplicated, 0 to 1
     */
    public ViewPlay(int many, double loss, double twice, long seed) {
        if (many < 1 || many > 10_000 || !(loss >= 0 && loss < 1) || !(twice >= 0 && twice <= 1)) {
            throw new IllegalArgumentException(
                    many + " instances at a loss of " + loss + "; it takes 1 to 10000 and 0 to 1");
        }
        settings = MembershipSettings.forConfigured(many);
        this.loss = loss;
        this.twice = twice;
        random = new SplittableRandom(seed);
        for (int i = 0; i < many; i++) {
            Instance instance = new Instance(i);
            instances.add(instance);
            time.at(random.nextDouble() * START_MS, () -> instance.start(0));
        }
    }

    // ---- the network

    /** Adds to the one-way delay between zones. */
    public ViewPlay zonesApart(double ms) {
        zoneMs = ms;
        return this;
    }

    private boolean reaches(int from, int to) {
        return !cut || side.test(from) == side.test(to) || (oneWay && !side.test(from));
    }

    private void post(int from, int to, byte[] body) {
        if (!reaches(from, to) || random.nextDouble() < loss) {
            return;
        }
        for (int copies = random.nextDouble() < twice ? 2 : 1; copies > 0; copies--) {
            double late = 0.3 + random.nextDouble() * 1.5 + (from % ZONES == to % ZONES ? 0 : zoneMs);
            time.after(late, () -> {
                Instance i = instances.get(to);
                if (i.members != null) {
                    i.whenAwake(() -> {
                        i.members.messageReceived(time.now(), from, body);
                        i.go();
                    });
                }
            });
        }
    }

    /** Partitions the selected instances from the others. */
    public void cut(IntPredicate side) {
        this.side = side;
        cut = true;
    }

    /** One-way partition: messages of the selected instances don't reach the others. */
    public void cutOneWay(IntPredicate side) {
        cut(side);
        oneWay = true;
    }

    /** Heals the partition. */
    public void heal() {
        cut = false;
        oneWay = false;
    }

    // ---- processes

    /** Crashes an instance. */
    public void kill(int id) {
        instances.get(id).members = null;
        instances.get(id).missed.clear();
    }

    /** Starts an instance; {@code remembered}: the incarnation of its last process. */
    public void start(int id, long remembered) {
        instances.get(id).start(remembered);
    }

    /** Pauses a process for this time. */
    public void stop(int id, double ms) {
        Instance i = instances.get(id);
        i.stoppedUntilMs = time.now() + ms;
        time.after(ms, i::wakeUp);
    }

    /** An instance leaves and its process ends. */
    public void leave(int id) {
        Instance i = instances.get(id);
        i.members.leave(time.now());
        i.go();
        kill(id);
    }

    /** An instance has new state to send. */
    public void poke(int id) {
        instances.get(id).go();
    }

    /** Advances the clock. */
    public void pass(double ms) {
        time.passTo(time.now() + ms);
    }

    /** Current virtual time in milliseconds. */
    public double now() {
        return time.now();
    }

    // ---- observations

    /** Starts counting running, reachable instances that are declared dead. */
    public void countFalseDeaths() {
        quietFromMs = time.now();
    }

    private void watch(Instance i) {
        if (time.now() < quietFromMs) {
            return;
        }
        for (Instance other : instances) {
            Member e = other.members == null ? null : i.members.member(other.id);
            if (e != null
                    && e.state() == MemberState.DEAD
                    && e.compareIncarnation(other.members.member(e.id())) == 0
                    && reaches(i.id, other.id)
                    && time.now() >= other.stoppedUntilMs) {
                falseDeaths.add(e.id() + "/" + e.incarnation());
            }
        }
    }

    /** Number of running instances that were declared dead. */
    public int falseDeaths() {
        return falseDeaths.size();
    }

    /** Whether all running instances that reach each other agree, and their view is correct. */
    public boolean settled() {
        if (time.now() < START_MS) {
            return false;
        }
        for (Instance i : instances) {
            if (i.members == null) {
                continue;
            }
            for (Instance other : instances) {
                Member e = i.members.member(other.id);
                boolean lives = other.members != null && reaches(i.id, other.id) && reaches(other.id, i.id);
                if (lives
                        ? e == null || !e.state().isLive() || i.members.digest() != other.members.digest()
                        : e != null && e.state().isLive()) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Whether all running instances consider an instance alive, or gone. */
    public boolean allHold(int id, boolean alive) {
        return instances.stream().filter(i -> i.members != null).allMatch(i -> {
            Member e = i.members.member(id);
            return alive
                    ? e != null && e.state().isLive()
                    : e == null || !e.state().isLive();
        });
    }

    /** Advances the clock until a condition holds; returns the elapsed milliseconds, or the limit. */
    public double until(BooleanSupplier what, double limitMs) {
        double began = time.now();
        while (time.now() - began < limitMs && !what.getAsBoolean()) {
            pass(20);
        }
        return time.now() - began;
    }

    /** Bytes sent so far: maximum over the instances, and mean. */
    public double[] bytes() {
        return new double[] {
            instances.stream().mapToLong(i -> i.bytes).max().orElse(0),
            instances.stream().mapToLong(i -> i.bytes).average().orElse(0)
        };
    }

    /** The membership of an instance; null while it is dead. */
    public Membership of(int id) {
        return instances.get(id).members;
    }
}
