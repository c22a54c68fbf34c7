package cacheproxy.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Places that work side by side behind one bounded first-come queue: a node's core, or the origin's slots. Times in
 * milliseconds.
 *
 * @param <J> what is worked on
 */
public final class ServiceModel<J> {
    private record Job<J>(J what, double workMs) {}

    private record Running<J>(J what, double finishMs, long number) {}

    private final int places;
    private final int maxQueue;
    private final ArrayDeque<Job<J>> queue = new ArrayDeque<>();
    private PriorityQueue<Running<J>> running = heap();
    private double stalledUntilMs;
    private long begun;

    /** {@code places}: at least 1; {@code maxQueue}: how many may wait beside those that run, at least 0. */
    public ServiceModel(int places, int maxQueue) {
        if (places < 1 || maxQueue < 0) {
            throw new IllegalArgumentException(places + " places with a queue of " + maxQueue);
        }
        this.places = places;
        this.maxQueue = maxQueue;
    }

    private static <J> PriorityQueue<Running<J>> heap() {
        return new PriorityQueue<>(
                Comparator.<Running<J>>comparingDouble(Running::finishMs).thenComparingLong(Running::number));
    }

    /** Takes work, in milliseconds at speed 1; false if the queue is full. {@code speed} is above 0. */
    public boolean offer(double now, J what, double workMs, double speed) {
        if (running.size() >= places && queue.size() >= maxQueue) {
            return false;
        }
        queue.add(new Job<>(what, workMs));
        begin(now, speed);
        return true;
    }

    private void begin(double now, double speed) {
        while (running.size() < places && !queue.isEmpty()) {
            Job<J> job = queue.poll();
            running.add(new Running<>(job.what(), Math.max(now, stalledUntilMs) + job.workMs() / speed, ++begun));
        }
    }

    /** Stands still for this long from now on: what runs is done so much later. */
    public void stall(double now, double ms) {
        double added = now + ms - Math.max(now, stalledUntilMs);
        if (added > 0) {
            stalledUntilMs = now + ms;
            PriorityQueue<Running<J>> later = heap();
            running.forEach(r -> later.add(new Running<>(r.what(), r.finishMs() + added, r.number())));
            running = later;
        }
    }

    /** When the next of the running work will be done; positive infinity if there is none. */
    public double finishMs() {
        return running.isEmpty() ? Double.POSITIVE_INFINITY : running.peek().finishMs();
    }

    /** What has been done by now, in order. */
    public List<J> advance(double now, double speed) {
        List<J> done = new ArrayList<>(1);
        while (finishMs() <= now) {
            Running<J> r = running.poll();
            done.add(r.what());
            begin(r.finishMs(), speed);
        }
        return done;
    }

    /** Drops what runs and what waits, undone. */
    public void clear() {
        queue.clear();
        running.clear();
    }

    /** How much is held: running and waiting. */
    public int load() {
        return queue.size() + running.size();
    }
}
