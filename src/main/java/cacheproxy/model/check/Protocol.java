package cacheproxy.model.check;

import java.util.List;

/** A small system whose state space is explored. States are immutable: a move produces a new one. */
public interface Protocol<S> {
    /**
     * A transition to another state.
     *
     * @param words human-readable description
     * @param to the state after the move
     * @param broken the property of transitions that the move violates; null for none
     */
    record Move<S>(String words, S to, String broken) {}

    /** The initial state. */
    S initial();

    /** All moves that are possible in a state, within the bounds of the exploration. */
    List<Move<S>> moves(S state);

    /** The property of states that this state violates; null for none. */
    String broken(S state);

    /** A key that is the same for states that differ only in how their participants are numbered. */
    String key(S state);
}
