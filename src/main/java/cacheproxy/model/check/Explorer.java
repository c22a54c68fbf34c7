package cacheproxy.model.check;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Explores the state space breadth first, so the first counterexample has the shortest possible trace. Visited states
 * are stored as a 64-bit hash of their key; among a million states the probability of a collision is about one in 40
 * million.
 */
public final class Explorer<S> {
    /**
     * The result of an exploration.
     *
     * @param states number of distinct states visited
     * @param depth number of moves on the path to the deepest of them
     * @param complete whether every state within the protocol's bounds was visited
     * @param broken the violated property, null if none was
     * @param trace the moves from the initial state to the violation
     */
    public record Result(long states, int depth, boolean complete, String broken, List<String> trace) {
        /** A human-readable summary, with the trace of a violation. */
        public String text() {
            StringBuilder s = new StringBuilder(String.format(
                    "%,d states, %d moves deep%s%n",
                    states, depth, complete ? ", all there are within the bounds" : ""));
            if (broken == null) {
                return s.append("nothing broken\n").toString();
            }
            s.append("BROKEN: ").append(broken).append(" after\n");
            for (int i = 0; i < trace.size(); i++) {
                s.append(String.format("%4d  %s%n", i + 1, trace.get(i)));
            }
            return s.toString();
        }
    }

    private record From(long before, String move, int depth) {}

    private record Waiting<S>(long key, S state) {}

    private final Protocol<S> protocol;
    private final Map<Long, From> visited = new HashMap<>();

    /** Creates an explorer; {@link #run} does the exploration. */
    public Explorer(Protocol<S> protocol) {
        this.protocol = protocol;
    }

    /** Explores until a property is violated, all states are visited, or {@code maxStates} states are. */
    public Result run(long maxStates) {
        ArrayDeque<Waiting<S>> waiting = new ArrayDeque<>();
        S first = protocol.initial();
        long firstKey = hash(protocol.key(first));
        visited.put(firstKey, new From(0, null, 0));
        waiting.add(new Waiting<>(firstKey, first));
        int depth = 0;
        String broken = protocol.broken(first);
        if (broken != null) {
            return new Result(1, 0, false, broken, List.of());
        }
        while (!waiting.isEmpty() && visited.size() < maxStates) {
            Waiting<S> w = waiting.poll();
            depth = visited.get(w.key()).depth() + 1;
            for (Protocol.Move<S> move : protocol.moves(w.state())) {
                long key = hash(protocol.key(move.to()));
                if (move.broken() == null && visited.containsKey(key)) {
                    continue;
                }
                visited.putIfAbsent(key, new From(w.key(), move.words(), depth));
                String wrong = move.broken() != null ? move.broken() : protocol.broken(move.to());
                if (wrong != null) {
                    List<String> trace = trace(w.key());
                    trace.add(move.words());
                    return new Result(visited.size(), depth, false, wrong, trace);
                }
                waiting.add(new Waiting<>(key, move.to()));
            }
        }
        return new Result(visited.size(), depth, waiting.isEmpty(), null, List.of());
    }

    private List<String> trace(long key) {
        List<String> moves = new ArrayList<>();
        for (From f = visited.get(key); f.move() != null; f = visited.get(f.before())) {
            moves.add(0, f.move());
        }
        return moves;
    }

    /** 64-bit FNV-1a; the upper half is folded into the lower. */
    private static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return h ^ h >>> 32;
    }
}
