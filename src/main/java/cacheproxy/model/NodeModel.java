package cacheproxy.model;

import cacheproxy.emulator.ColdStart;
import cacheproxy.emulator.LruStore;
import cacheproxy.emulator.ServiceModel;
import cacheproxy.routing.AttemptOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One cache node: a core with a short queue, a memory, places for connections, a cold ramp and a tipping point. What is
 * cancelled goes on, as it does at the site.
 */
final class NodeModel {
    /** What a miss costs of what a hit does. */
    private static final double MISS_PART = 0.1;

    /** One request that has arrived; {@code link}: null for the work of a new connection. */
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

    /** {@code bornMs}: 0 for long ago. */
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

    /** What it was sent while it was cold; null if it has been warm from the beginning. */
    ColdLoad load() {
        return load;
    }

    private double speedNow() {
        return speed * start.share(time.now()) / slowness;
    }

    // ---- what happens to it

    /** Finishes what it has and wants nothing new. */
    void drain() {
        draining = true;
    }

    /** Its process ends: what is open is reset, and nothing comes up any more. */
    void go() {
        gone = true;
        resetAll();
    }

    /** Says nothing, or speaks again; what was open is still open. */
    void silent(boolean on) {
        silent = on;
        if (on) {
            core.clear();
        }
    }

    /** Answers this part with an error or a reset, and takes so many times as long. */
    void bad(double errors, double timesSlower) {
        errorPart = errors;
        slowness = timesSlower;
    }

    /** Stands still for so long. */
    void pause(double ms) {
        core.stall(time.now(), ms);
    }

    /** Ends each of its connections with this probability. */
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

    /** Takes a connection; false if all places are taken. */
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

    /** A request has come whole; its answer goes to the link, or nothing does. */
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

    /** What is sent counts, also what is turned away: so the operators' rule has it. */
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
