package cacheproxy.model.check;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Breadth first over all states: the first counterexample is a shortest one. States that were met are known by 64 bits
 * of their key's hash, so of a million states two are taken for one with a chance of about one in 40 million.
 */
public final class Explorer<S> {
    /**
     * What came of it.
     *
     * @param states that were met
     * @param depth moves to the farthest of them
     * @param complete whether that were all within the protocol's own bounds
     * @param broken what was found, null for nothing
     * @param trace the moves that lead there
     */
    public record Result(long states, int depth, boolean complete, String broken, List<String> trace) {
        /** For people. */
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
    private final Map<Long, From> met = new HashMap<>();

    /** Explores nothing yet. */
    public Explorer(Protocol<S> protocol) {
        this.protocol = protocol;
    }

    /** Explores until something is broken, all has been met, or so many states have. */
    public Result run(long most) {
        ArrayDeque<Waiting<S>> waiting = new ArrayDeque<>();
        S first = protocol.initial();
        long firstKey = hash(protocol.key(first));
        met.put(firstKey, new From(0, null, 0));
        waiting.add(new Waiting<>(firstKey, first));
        int depth = 0;
        String broken = protocol.broken(first);
        if (broken != null) {
            return new Result(1, 0, false, broken, List.of());
        }
        while (!waiting.isEmpty() && met.size() < most) {
            Waiting<S> w = waiting.poll();
            depth = met.get(w.key()).depth() + 1;
            for (Protocol.Move<S> move : protocol.moves(w.state())) {
                long key = hash(protocol.key(move.to()));
                if (move.broken() == null && met.containsKey(key)) {
                    continue;
                }
                met.putIfAbsent(key, new From(w.key(), move.words(), depth));
                String wrong = move.broken() != null ? move.broken() : protocol.broken(move.to());
                if (wrong != null) {
                    List<String> trace = trace(w.key());
                    trace.add(move.words());
                    return new Result(met.size(), depth, false, wrong, trace);
                }
                waiting.add(new Waiting<>(key, move.to()));
            }
        }
        return new Result(met.size(), depth, waiting.isEmpty(), null, List.of());
    }

    private List<String> trace(long key) {
        List<String> moves = new ArrayList<>();
        for (From f = met.get(key); f.move() != null; f = met.get(f.before())) {
            moves.add(0, f.move());
        }
        return moves;
    }

    /** FNV-1a of 64 bits, mixed. */
    private static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return h ^ h >>> 32;
    }
}
