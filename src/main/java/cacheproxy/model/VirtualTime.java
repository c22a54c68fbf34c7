package cacheproxy.model;

import java.util.PriorityQueue;

/** Event queue ordered by time, then by order of scheduling, so that the same seed gives the same run. */
public final class VirtualTime {
    private record Event(double at, long number, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Double.compare(at, o.at) : Long.compare(number, o.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long number;
    private double now;

    /** Starts the clock at a time in milliseconds. */
    public VirtualTime(double startMs) {
        now = startMs;
    }

    /** Current virtual time in milliseconds. */
    public double now() {
        return now;
    }

    /** Schedules an action after a delay. */
    public void after(double ms, Runnable what) {
        at(now + ms, what);
    }

    /** Schedules an action at an absolute time. */
    public void at(double ms, Runnable what) {
        events.add(new Event(ms, number++, what));
    }

    /** Runs all events due up to a time and advances the clock to it. */
    public void passTo(double ms) {
        while (!events.isEmpty() && events.peek().at <= ms) {
            Event e = events.poll();
            now = e.at;
            e.what.run();
        }
        now = ms;
    }
}
