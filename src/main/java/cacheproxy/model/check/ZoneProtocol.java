package cacheproxy.model.check;

import cacheproxy.failover.FailoverPlan;
import cacheproxy.failover.ZoneState;
import cacheproxy.failover.ZoneState.Cause;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.function.BinaryOperator;

/**
 * Three observers that decide on the failover of two zones, over the real {@link FailoverPlan}. Each observer may find
 * any zone lost or healthy at any time, or receive an operator's command. Messages may be lost, duplicated or
 * reordered; an observer may crash and restart without state. Checks that no observer's plan closes all zones or keeps
 * less open than the floor of a third, that no epoch decreases at a running observer, and that the observers, once they
 * exchange messages without loss, converge on one plan.
 */
public final class ZoneProtocol implements Protocol<ZoneProtocol.Fleet> {
    /** Number of observers. */
    public static final int OBSERVERS = 3;

    public static final int ZONES = 2;

    private static final int ROUNDS = OBSERVERS;
    /** Traffic parts that return to a zone per recovery step. */
    private static final int STEP = ZoneState.ALL_PARTS / 3;

    /**
     * Bounds of the exploration.
     *
     * @param messages in flight at once
     * @param decisions in total
     * @param deaths of observers in total
     */
    public record Bounds(int messages, int decisions, int deaths) {}

    private record Mail(int to, FailoverPlan plan) {}

    /** State of the whole system. */
    public record Fleet(List<FailoverPlan> plans, List<Mail> mail, int decisions, int deaths) {}

    private final Bounds bounds;
    private final BinaryOperator<FailoverPlan> join;

    /** {@code join} merges a received plan into the one held. */
    public ZoneProtocol(Bounds bounds, BinaryOperator<FailoverPlan> join) {
        this.bounds = bounds;
        this.join = join;
    }

    /** Explores the production merge, {@link FailoverPlan#join}. */
    public static ZoneProtocol real(Bounds bounds) {
        return new ZoneProtocol(bounds, FailoverPlan::join);
    }

    @Override
    public Fleet initial() {
        return new Fleet(Collections.nCopies(OBSERVERS, FailoverPlan.initial(ZONES)), List.of(), 0, 0);
    }

    // ---- moves

    @Override
    public List<Move<Fleet>> moves(Fleet f) {
        List<Move<Fleet>> moves = new ArrayList<>();
        for (int i = 0; i < OBSERVERS; i++) {
            for (int z = 0; z < ZONES && f.decisions() < bounds.decisions(); z++) {
                decide(f, i, z, moves);
            }
            for (int to = 0; to < OBSERVERS && f.mail().size() < bounds.messages(); to++) {
                if (to != i) {
                    List<Mail> mail = new ArrayList<>(f.mail());
                    mail.add(new Mail(to, f.plans().get(i)));
                    moves.add(new Move<>(
                            i + " tells " + to + " " + f.plans().get(i),
                            new Fleet(f.plans(), mail, f.decisions(), f.deaths()),
                            null));
                }
            }
            if (f.deaths() < bounds.deaths()) {
                moves.add(new Move<>(
                        i + " starts again with nothing",
                        new Fleet(
                                with(f.plans(), i, FailoverPlan.initial(ZONES)),
                                f.mail(),
                                f.decisions(),
                                f.deaths() + 1),
                        null));
            }
        }
        for (int m = 0; m < f.mail().size(); m++) {
            deliver(f, m, moves);
        }
        return moves;
    }

    private static List<FailoverPlan> with(List<FailoverPlan> plans, int at, FailoverPlan plan) {
        List<FailoverPlan> all = new ArrayList<>(plans);
        all.set(at, plan);
        return all;
    }

    private static void decide(Fleet f, int i, int z, List<Move<Fleet>> moves) {
        FailoverPlan p = f.plans().get(i);
        ZoneState s = p.stateOf(z);
        if (s.cause() == Cause.EVIDENCE) {
            decided(f, i, z, p.reducedState(z, 0, s.leaveCount() + 1), "finds " + z + " lost", moves);
            if (s.trafficParts() < ZoneState.ALL_PARTS) {
                decided(
                        f,
                        i,
                        z,
                        s.next(Math.min(ZoneState.ALL_PARTS, s.trafficParts() + STEP), Cause.EVIDENCE, s.leaveCount()),
                        "finds " + z + " sound",
                        moves);
            }
        }
        if (p.allowsTrafficParts(z, 0)) {
            decided(f, i, z, s.next(0, Cause.LEAVE, s.leaveCount()), "is told to leave " + z, moves);
        }
        decided(f, i, z, s.next(s.trafficParts(), Cause.HOLD, s.leaveCount()), "is told to hold " + z, moves);
    }

    private static void decided(Fleet f, int i, int z, ZoneState next, String words, List<Move<Fleet>> moves) {
        if (next != null) {
            moves.add(new Move<>(
                    i + " " + words,
                    new Fleet(
                            with(f.plans(), i, f.plans().get(i).with(z, next)),
                            f.mail(),
                            f.decisions() + 1,
                            f.deaths()),
                    null));
        }
    }

    private void deliver(Fleet f, int m, List<Move<Fleet>> moves) {
        Mail mail = f.mail().get(m);
        List<Mail> rest = new ArrayList<>(f.mail());
        rest.remove(m);
        FailoverPlan before = f.plans().get(mail.to());
        FailoverPlan after = join.apply(before, mail.plan());
        String broken =
                back(before, after) ? "an epoch goes back at " + mail.to() + " from " + before + " to " + after : null;
        List<FailoverPlan> plans = with(f.plans(), mail.to(), after);
        moves.add(new Move<>(
                "a message to " + mail.to() + " is lost", new Fleet(f.plans(), rest, f.decisions(), f.deaths()), null));
        moves.add(new Move<>(
                mail.to() + " hears " + mail.plan(), new Fleet(plans, rest, f.decisions(), f.deaths()), broken));
        moves.add(new Move<>(
                mail.to() + " hears " + mail.plan() + ", which comes once more",
                new Fleet(plans, f.mail(), f.decisions(), f.deaths()),
                broken));
    }

    private static boolean back(FailoverPlan before, FailoverPlan after) {
        for (int z = 0; z < ZONES; z++) {
            if (after.stateOf(z).epoch() < before.stateOf(z).epoch()) {
                return true;
            }
        }
        return false;
    }

    // ---- invariants

    @Override
    public String broken(Fleet f) {
        for (int i = 0; i < OBSERVERS; i++) {
            String closed = closed(f.plans().get(i), i);
            if (closed != null) {
                return closed;
            }
        }
        List<FailoverPlan> all = new ArrayList<>(f.plans());
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < OBSERVERS; i++) {
                for (int to = 0; to < OBSERVERS; to++) {
                    all.set(to, join.apply(all.get(to), all.get(i)));
                }
            }
        }
        for (int i = 1; i < OBSERVERS; i++) {
            if (!all.get(i).equals(all.get(0))) {
                return "0 and " + i + " exchange without loss and hold " + all.get(0) + " and " + all.get(i);
            }
        }
        return closed(all.get(0), 0);
    }

    private static String closed(FailoverPlan p, int who) {
        int sum = 0;
        for (int z = 0; z < ZONES; z++) {
            sum += p.trafficParts(z);
        }
        return 3 * sum >= ZONES * ZoneState.ALL_PARTS ? null : who + " has less than a third open by " + p;
    }

    /** Symmetry reduction: observers differ only in their ids, so the least key over all permutations is used. */
    @Override
    public String key(Fleet f) {
        int[][] orders = {{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};
        String least = null;
        for (int[] names : orders) {
            String[] plans = new String[OBSERVERS];
            for (int i = 0; i < OBSERVERS; i++) {
                plans[names[i]] = text(f.plans().get(i));
            }
            List<String> mail = new ArrayList<>();
            f.mail().forEach(m -> mail.add(names[m.to()] + "<" + text(m.plan())));
            mail.sort(null);
            String key = Arrays.toString(plans) + mail + f.decisions() + '.' + f.deaths();
            least = least == null || key.compareTo(least) < 0 ? key : least;
        }
        return least;
    }

    private static String text(FailoverPlan p) {
        StringBuilder s = new StringBuilder();
        p.zones()
                .forEach(z -> s.append(z.epoch())
                        .append('/')
                        .append(z.trafficParts())
                        .append(z.cause().ordinal())
                        .append(z.leaveCount())
                        .append(' '));
        return s.toString();
    }
}
