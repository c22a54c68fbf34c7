package cacheproxy.flow;

import java.util.ArrayDeque;

/** The sources of one kind that wait for their turns, those first that have not worked in the turn. Pure. */
final class TurnQueue<T> {
    private final ArrayDeque<TurnScheduler.Source<T>> fresh = new ArrayDeque<>();
    private final ArrayDeque<TurnScheduler.Source<T>> backlogged = new ArrayDeque<>();

    /** Adds a source that has not worked. */
    void addFresh(TurnScheduler.Source<T> source) {
        fresh.add(source);
    }

    /** Adds a source that has worked, or has had to wait before. */
    void addBacklogged(TurnScheduler.Source<T> source) {
        backlogged.add(source);
    }

    void remove(TurnScheduler.Source<T> source) {
        fresh.remove(source);
        backlogged.remove(source);
    }

    boolean isEmpty() {
        return fresh.isEmpty() && backlogged.isEmpty();
    }

    /** Takes the next source that has not been served in this turn; null if there is none. */
    TurnScheduler.Source<T> poll(long turn) {
        ArrayDeque<TurnScheduler.Source<T>> queue = isServable(fresh, turn) ? fresh : backlogged;
        return isServable(queue, turn) ? queue.poll() : null;
    }

    private static <T> boolean isServable(ArrayDeque<TurnScheduler.Source<T>> queue, long turn) {
        TurnScheduler.Source<T> first = queue.peek();
        return first != null && !first.wasServedIn(turn);
    }
}
