package cacheproxy.model;

import java.util.PriorityQueue;

/** Events in the order of their times, and of their making where these are alike: the same seed gives the same run. */
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

    /** Begins at that time, in milliseconds. */
    public VirtualTime(double startMs) {
        now = startMs;
    }

    /** The time now, in milliseconds. */
    public double now() {
        return now;
    }

    /** Has this happen so much later. */
    public void after(double ms, Runnable what) {
        at(now + ms, what);
    }

    /** Has this happen at that time. */
    public void at(double ms, Runnable what) {
        events.add(new Event(ms, number++, what));
    }

    /** Lets all happen that is to happen until then, and is then there. */
    public void passTo(double ms) {
        while (!events.isEmpty() && events.peek().at <= ms) {
            Event e = events.poll();
            now = e.at;
            e.what.run();
        }
        now = ms;
    }
}
