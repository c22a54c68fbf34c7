package cacheproxy.model.check;

import java.util.List;

/** A small system whose states are explored. States are values: a move makes another. */
public interface Protocol<S> {
    /**
     * A move.
     *
     * @param words for people
     * @param to the state after it
     * @param broken what it broke that may not happen between two states; null for nothing
     */
    record Move<S>(String words, S to, String broken) {}

    /** Where it begins. */
    S initial();

    /** All that can happen next, within the bounds of the exploration. */
    List<Move<S>> moves(S state);

    /** What is broken in a state; null for nothing. */
    String broken(S state);

    /** Alike for states that differ in names alone. */
    String key(S state);
}
