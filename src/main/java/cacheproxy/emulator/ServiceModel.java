package cacheproxy.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Parallel servers behind one bounded FIFO queue: a node's core or the origin's slots. Times in milliseconds.
 *
 * @param <J> the job type
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

    /** {@code places}: jobs that run in parallel, at least 1; {@code maxQueue}: jobs that may wait, at least 0. */
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

    /** Queues work, in milliseconds at speed 1; false if the queue is full. {@code speed} is above 0. */
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

    /** Stalls for this long from now; running jobs are delayed accordingly. */
    public void stall(double now, double ms) {
        double added = now + ms - Math.max(now, stalledUntilMs);
        if (added > 0) {
            stalledUntilMs = now + ms;
            PriorityQueue<Running<J>> later = heap();
            running.forEach(r -> later.add(new Running<>(r.what(), r.finishMs() + added, r.number())));
            running = later;
        }
    }

    /** When the next running job completes; positive infinity if none is running. */
    public double finishMs() {
        return running.isEmpty() ? Double.POSITIVE_INFINITY : running.peek().finishMs();
    }

    /** Removes and returns the jobs that have completed by now, in order of completion. */
    public List<J> advance(double now, double speed) {
        List<J> done = new ArrayList<>(1);
        while (finishMs() <= now) {
            Running<J> r = running.poll();
            done.add(r.what());
            begin(r.finishMs(), speed);
        }
        return done;
    }

    /** Discards all running and queued jobs. */
    public void clear() {
        queue.clear();
        running.clear();
    }

    /** The number of running and queued jobs. */
    public int load() {
        return queue.size() + running.size();
    }
}
