package cacheproxy.model;

import cacheproxy.emulator.ServiceModel;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The one slow origin: limited concurrency behind a bounded queue. It completes fetches that nobody awaits any more.
 */
final class OriginModel {
    /** The queue holds fetches for this long on average; beyond that the origin rejects. */
    private static final double QUEUE_MS = 600;
    /**
     * Fetches per request that the origin carries without congestion where each instance has connections to two nodes
     * in five. The operators' bench showed 1,919 fetches for 5,393 requests within 5 s, at a steady 42 ms per fetch.
     */
    private static final double SCATTERED = 0.25;

    private record Job(Attempt attempt, Consumer<Boolean> done) {}

    static final int ZONE = 0;
    private final VirtualTime time;
    private final SplittableRandom random;
    private final Tally tally;
    private final double fetchMs;
    private final ServiceModel<Job> slots;
    private final Map<Long, Integer> fetching = new HashMap<>();
    private double armedMs = Double.POSITIVE_INFINITY;

    OriginModel(FleetDraw draw, VirtualTime time, Tally tally, SplittableRandom random) {
        this.time = time;
        this.tally = tally;
        this.random = random;
        fetchMs = draw.originMs();
        double perSecond = draw.perSecond() * SCATTERED * draw.headroom();
        int places = (int) Math.max(2, Math.round(perSecond * fetchMs / 1000));
        slots = new ServiceModel<>(places, (int) Math.max(2, places * QUEUE_MS / fetchMs));
    }

    /** Performs a fetch or a write; {@code done} gets true at its end, or false at once if it is rejected. */
    void take(Attempt attempt, Consumer<Boolean> done) {
        double work = fetchMs * -(Math.log(1 - random.nextDouble()) + Math.log(1 - random.nextDouble())) / 2;
        if (!slots.offer(time.now(), new Job(attempt, done), work, 1)) {
            tally.add(time.now(), Figure.ORIGIN_FULL);
            done.accept(false);
            return;
        }
        if (!attempt.ask.request.write()) {
            tally.add(time.now(), Figure.FETCHES);
            if (fetching.merge(attempt.ask.request.key(), 1, Integer::sum) > 1) {
                tally.add(time.now(), Figure.FETCHES_AGAIN);
            }
        }
        arm();
    }

    private void arm() {
        double finish = slots.finishMs();
        if (finish < armedMs) {
            armedMs = finish;
            time.at(finish, this::advance);
        }
    }

    private void advance() {
        armedMs = Double.POSITIVE_INFINITY;
        for (Job job : slots.advance(time.now(), 1)) {
            if (!job.attempt().ask.request.write()) {
                fetching.computeIfPresent(job.attempt().ask.request.key(), (k, n) -> n == 1 ? null : n - 1);
            }
            job.done().accept(true);
        }
        arm();
    }
}
