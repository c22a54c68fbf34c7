package cacheproxy.model;

import cacheproxy.emulator.ColdStart;
import cacheproxy.emulator.LruStore;
import cacheproxy.emulator.ServiceModel;
import cacheproxy.routing.AttemptOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One cache node: one core with a short queue, an LRU store, a connection limit, a capacity ramp after a cold start and
 * an overload limit. A cancelled request is still processed, as at the operators' site.
 */
final class NodeModel {
    /** Cost of a miss relative to a hit. */
    private static final double MISS_PART = 0.1;

    /** One request in the queue; {@code link}: null for the handshake of a new connection. */
    private record Job(Link link, Attempt attempt) {}

    final int id;
    final int zone;
    final float weight;
    final double bornMs;
    private final VirtualTime time;
    private final Rules rules;
    private final SplittableRandom random;
    private final double speed;
    private final double handshakeMs;
    private final int places;
    private final ServiceModel<Job> core;
    private final LruStore<Long> store;
    private final ColdStart start;
    private final ColdLoad load;
    private final List<Link> links = new ArrayList<>();
    private double armedMs = Double.POSITIVE_INFINITY;
    private boolean draining;
    private boolean gone;
    private boolean silent;
    private boolean fallen;
    private double errorPart;
    private double slowness = 1;

    /** {@code bornMs}: start time; 0 for a node that has long been warm. */
    NodeModel(
            int id,
            int zone,
            double bornMs,
            boolean fast,
            FleetDraw draw,
            int entries,
            VirtualTime time,
            Rules rules,
            SplittableRandom random) {
        this.id = id;
        this.zone = zone;
        this.bornMs = bornMs;
        this.time = time;
        this.rules = rules;
        this.random = random;
        weight = (float) (fast ? FleetDraw.FAST : FleetDraw.SLOW);
        speed = weight * (0.9 + 0.2 * random.nextDouble());
        handshakeMs = draw.handshakeMs();
        places = draw.places();
        core = new ServiceModel<>(1, draw.queue());
        store = new LruStore<>(entries);
        start = new ColdStart(
                new ColdStart.Settings(
                        draw.coldFrom(),
                        draw.warmMs(),
                        FleetDraw.COLD_MULTIPLE,
                        FleetDraw.COLD_WINDOW_MS,
                        3 * draw.workMs()),
                speed,
                bornMs == 0 ? Double.NEGATIVE_INFINITY : bornMs);
        load = bornMs == 0 ? null : new ColdLoad(FleetDraw.COLD_LIMITS, speed / draw.workMs(), bornMs);
    }

    /** The load it received while cold; null if it was warm from the beginning. */
    ColdLoad load() {
        return load;
    }

    private double speedNow() {
        return speed * start.share(time.now()) / slowness;
    }

    // ---- faults and lifecycle

    /** Finishes its current requests and rejects new ones. */
    void drain() {
        draining = true;
    }

    /** The process ends for good: open connections are reset and no request is answered any more. */
    void go() {
        gone = true;
        resetAll();
    }

    /** Stops responding, or responds again; open connections stay open. */
    void silent(boolean on) {
        silent = on;
        if (on) {
            core.clear();
        }
    }

    /** Fails this share of requests with an error or a reset, and serves so many times slower. */
    void bad(double errors, double timesSlower) {
        errorPart = errors;
        slowness = timesSlower;
    }

    /** Pauses for this time. */
    void pause(double ms) {
        core.stall(time.now(), ms);
    }

    /** Resets each of its connections with this probability. */
    void reset(double part) {
        for (Link link : List.copyOf(links)) {
            if (random.nextDouble() < part) {
                link.reset();
            }
        }
    }

    private void resetAll() {
        List.copyOf(links).forEach(Link::reset);
    }

    boolean gone() {
        return gone;
    }

    boolean draining() {
        return draining;
    }

    boolean answers() {
        return !gone && !silent && !fallen;
    }

    // ---- connections

    /** Accepts a connection; false if the connection limit is reached. */
    boolean accept(Link link) {
        if (links.size() >= places) {
            return false;
        }
        links.add(link);
        take(new Job(null, null), handshakeMs);
        return true;
    }

    void left(Link link) {
        links.remove(link);
    }

    int open() {
        return links.size();
    }

    // ---- requests

    void put(long key) {
        if (answers()) {
            store.put(key, 0L);
        }
    }

    void drop(long key) {
        store.drop(key);
    }

    /** A request has arrived in full; its response goes to the link, unless the node doesn't respond. */
    void arrive(Link link, Attempt attempt) {
        if (!answers()) {
            return;
        }
        if (load != null) {
            load.arrived(
                    time.now(), attempt, link.owner().number(), link.owner().toldOfStart(this));
        }
        boolean held = store.get(attempt.ask.request.key()) != null;
        double work = attempt.ask.workMs * (held ? 1 : MISS_PART);
        if (start.pushedOver(time.now(), work)) {
            fall();
            return;
        }
        if (errorPart > 0 && random.nextDouble() < errorPart) {
            if (random.nextBoolean()) {
                link.reset();
            } else {
                link.answered(attempt, AttemptOutcome.ERROR, zone);
            }
            return;
        }
        if (draining || !take(new Job(link, attempt), work)) {
            link.answered(attempt, AttemptOutcome.REJECTED, zone);
        }
    }

    /** Fails from overload. Rejected requests count towards it too, as the operators' rule says. */
    private void fall() {
        fallen = true;
        rules.broken(
                Rules.Rule.NO_COLD_NODE_PUSHED_OVER,
                time.now(),
                "node " + id + " falls over, " + Math.round(time.now() - bornMs) + " ms old");
        core.clear();
        resetAll();
    }

    private boolean take(Job job, double workMs) {
        if (!core.offer(time.now(), job, workMs, speedNow())) {
            return false;
        }
        arm();
        return true;
    }

    private void arm() {
        double finish = core.finishMs();
        if (finish < armedMs) {
            armedMs = finish;
            time.at(finish, this::advance);
        }
    }

    private void advance() {
        armedMs = Double.POSITIVE_INFINITY;
        for (Job job : core.advance(time.now(), speedNow())) {
            if (job.link() != null && answers()) {
                long key = job.attempt().ask.request.key();
                job.link()
                        .answered(
                                job.attempt(), store.get(key) != null ? AttemptOutcome.OK : AttemptOutcome.MISS, zone);
            }
        }
        arm();
    }
}
