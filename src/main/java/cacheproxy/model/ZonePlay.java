package cacheproxy.model;

import cacheproxy.failover.ZoneFailover;
import cacheproxy.failover.ZoneFailoverSettings;
import cacheproxy.membership.Membership;
import cacheproxy.routing.ZoneDirective;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/**
 * Simulates zone failover and recovery in virtual time, with the production {@code Membership} and {@code ZoneFailover}
 * and random traffic. An attempt at an unreachable node is reported as unresponsive; nothing else of a request is
 * modelled.
 */
public final class ZonePlay {
    /** Number of zones; instances and nodes are assigned to them round-robin. */
    public static final int ZONES = 4;

    private static final double STEP_MS = 50;
    /** Least time after which an unanswered attempt is reported as unresponsive. */
    private static final double PATIENCE_MS = 80;

    private static final double WARM_UP_MS = 9000;
    private static final double USUAL_HITS = 0.9;

    /** Observes the instances after each step. */
    public interface Watcher {
        /** {@code open}: by instance, the open share of each zone; null for dead instances. */
        void looked(double nowMs, double[][] open);
    }

    private static final class Instance {
        final int id;
        ZoneFailover zones;
        Membership members;
        double[] open;
        boolean[] tries;
        double owes;
        double tickMs;
        byte[] plan = {};
        byte[] sight = {};
        Set<Integer> lies = Set.of();

        Instance(int id) {
            this.id = id;
        }
    }

    private final ViewPlay view;
    private final SplittableRandom random;
    private final List<Instance> instances = new ArrayList<>();
    private final int nodes;
    private final double rate;
    private final boolean[] nodeDead;
    private final double[] nodeColdUntilMs;
    private final double[] lost = new double[ZONES];
    private final Set<Integer> cutWays = new HashSet<>();
    private final Map<Integer, double[]> sent = new HashMap<>();
    private IntPredicate cutOff = z -> false;
    private double stallShare;
    private Watcher watcher = (now, open) -> {};

    /**
     * Creates a fleet.
     *
     * @param many number of instances
     * @param nodes number of cache nodes
     * @param rate mean requests per second at each instance
     */
    public ZonePlay(int many, int nodes, double rate, long seed) {
        view = new ViewPlay(many, 0, 0, seed);
        random = new SplittableRandom(seed * 31 + 5);
        this.nodes = nodes;
        this.rate = rate;
        nodeDead = new boolean[nodes];
        nodeColdUntilMs = new double[nodes];
        for (int i = 0; i < many; i++) {
            instances.add(new Instance(i));
        }
        pass(5000);
    }

    /** Sets the observer that is called after each step. */
    public void watch(Watcher by) {
        watcher = by;
    }

    // ---- faults

    /** The nodes of a zone die. */
    public void nodesDie(int zone) {
        for (int n = zone; n < nodes; n += ZONES) {
            nodeDead[n] = true;
        }
    }

    /** The nodes of a zone return, cold or with their state. */
    public void nodesReturn(int zone, boolean cold) {
        for (int n = zone; n < nodes; n += ZONES) {
            nodeDead[n] = false;
            nodeColdUntilMs[n] = cold ? now() + WARM_UP_MS : 0;
        }
    }

    /** One node dies or returns. */
    public void node(int node, boolean dead) {
        nodeDead[node] = dead;
    }

    /** Partitions zones from all others: their instances and nodes reach only each other. */
    public void cutOff(IntPredicate zones) {
        cutOff = zones;
        view.cut(i -> zones.test(i % ZONES));
    }

    /** Heals the partition. */
    public void heal() {
        cutOff = z -> false;
        view.heal();
    }

    /** Cuts or restores the path from the instances of one zone to the nodes of another. */
    public void cutWay(int from, int to, boolean cut) {
        if (cut) {
            cutWays.add(from * ZONES + to);
        } else {
            cutWays.remove(from * ZONES + to);
        }
    }

    /** Leaves this share of the attempts at a zone unanswered. */
    public void lose(int zone, double share) {
        lost[zone] = share;
    }

    /** Reports this share of all attempts as overdue. */
    public void stall(double share) {
        stallShare = share;
    }

    /** Makes an instance report these zones as unresponsive whatever their state. */
    public void lies(int instance, Set<Integer> zones) {
        instances.get(instance).lies = zones;
    }

    /** Crashes an instance. */
    public void kill(int instance) {
        view.kill(instance);
        instances.get(instance).zones = null;
    }

    /** Starts an instance without state. */
    public void start(int instance) {
        view.start(instance, 0);
    }

    // ---- time

    /** Current virtual time in milliseconds. */
    public double now() {
        return view.now();
    }

    /** Advances the clock. */
    public void pass(double ms) {
        for (double end = now() + ms; now() < end - 1e-6; ) {
            view.pass(STEP_MS);
            instances.forEach(this::step);
            watcher.looked(
                    now(),
                    instances.stream().map(i -> i.zones == null ? null : i.open).toArray(double[][]::new));
        }
    }

    private void step(Instance i) {
        Membership members = view.of(i.id);
        if (members == null) {
            return;
        }
        if (i.zones == null || i.members != members) {
            i.members = members;
            i.zones = new ZoneFailover(new ZoneFailoverSettings(i.id, i.id % ZONES, ZONES, WARM_UP_MS));
            i.open = new double[ZONES];
            Arrays.fill(i.open, 1);
            i.tries = new boolean[ZONES];
            i.plan = new byte[0];
            i.sight = new byte[0];
            i.tickMs = now() + random.nextDouble() * ZoneFailover.TICK_MS;
        }
        i.owes += rate * STEP_MS / 1000 * 2 * random.nextDouble();
        while (i.owes >= 1) {
            i.owes--;
            request(i);
        }
        if (now() >= i.tickMs) {
            i.tickMs = now() + ZoneFailover.TICK_MS;
            tick(i);
        }
    }

    private void request(Instance i) {
        int zone = random.nextInt(ZONES);
        if (random.nextDouble() >= i.open[zone]) {
            if (i.tries[zone]) {
                i.tries[zone] = false;
            } else {
                int from = random.nextInt(ZONES);
                for (int k = 0; k < ZONES && i.open[zone] < 1; k++) {
                    zone = (from + k) % ZONES;
                }
            }
        }
        int inZone = (nodes - zone + ZONES - 1) / ZONES;
        int node = zone + ZONES * random.nextInt(inZone);
        sent.computeIfAbsent(zone, z -> new double[1])[0]++;
        boolean here = i.id % ZONES == zone;
        boolean reached = !nodeDead[node]
                && cutOff.test(i.id % ZONES) == cutOff.test(zone)
                && !cutWays.contains(i.id % ZONES * ZONES + zone)
                && (here || random.nextDouble() >= lost[zone]);
        if (!reached || i.lies.contains(zone) || random.nextDouble() < stallShare) {
            i.zones.onNoResponse(now() + PATIENCE_MS, zone, node);
        } else {
            boolean hit = now() >= nodeColdUntilMs[node] && random.nextDouble() < USUAL_HITS;
            i.zones.onResponse(now(), zone, hit);
        }
    }

    private void tick(Instance i) {
        for (int z = 0; z < ZONES; z++) {
            double coldUntil = 0;
            int ready = 0;
            for (int n = z; n < nodes; n += ZONES) {
                ready++;
                coldUntil = Math.max(coldUntil, nodeColdUntilMs[n]);
            }
            i.zones.onEndpoints(z, ready, coldUntil);
        }
        for (ZoneDirective o : i.zones.tick(now(), i.members.view(now()))) {
            i.open[o.zone()] = o.trafficFraction();
            i.tries[o.zone()] |= o.probeAllowed();
        }
        byte[] plan = i.zones.planMetadata();
        byte[] sight = i.zones.healthMetadata();
        if (!Arrays.equals(plan, i.plan) || !Arrays.equals(sight, i.sight)) {
            i.plan = plan;
            i.sight = sight;
            i.members.setMetadata(ZoneFailover.PLAN_METADATA, plan);
            i.members.setMetadata(ZoneFailover.HEALTH_METADATA, sight);
            view.poke(i.id);
        }
    }

    // ---- observations

    /** The zone failover of an instance; null while it is dead. */
    public ZoneFailover of(int instance) {
        return instances.get(instance).zones;
    }

    /** The share of a zone that is open to an instance, 0 to 1. */
    public double open(int instance, int zone) {
        return instances.get(instance).open[zone];
    }

    /** Whether a zone is open by this share to all running instances of the selected home zones. */
    public boolean all(IntPredicate homes, int zone, double open) {
        return instances.stream()
                .filter(i -> i.zones != null && homes.test(i.id % ZONES))
                .allMatch(i -> Math.abs(i.open[zone] - open) < 1e-9);
    }

    /** Whether a zone is open by this share to any running instance. */
    public boolean any(int zone, double open) {
        return instances.stream().anyMatch(i -> i.zones != null && Math.abs(i.open[zone] - open) < 1e-9);
    }

    /** Attempts at a zone's nodes so far, by all instances. */
    public double sent(int zone) {
        return sent.getOrDefault(zone, new double[1])[0];
    }

    /** Bytes sent to peers so far by the instance that sent most. */
    public double mostBytes() {
        return view.bytes()[0];
    }
}
