package cacheproxy.model.check;

import cacheproxy.membership.Member;
import cacheproxy.membership.MemberState;
import cacheproxy.membership.MembershipReplica;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/**
 * Three instances that exchange membership state, over the real {@link MembershipReplica}. Messages may be lost,
 * duplicated or reordered. An instance may suspect others and declare them dead at any time; it may crash and restart
 * with or without its last incarnation. Checks that the incarnation of an entry never decreases at any instance, that a
 * state is revoked only by a higher incarnation, and that the running instances, once they exchange messages without
 * loss, converge on the same entries and consider each other alive.
 */
public final class MemberProtocol implements Protocol<MemberProtocol.Fleet> {
    /** Number of instances. */
    public static final int INSTANCES = 3;
    /** Rounds of all-to-all exchange within which the instances must converge. */
    private static final int ROUNDS = 6;

    private static final int[][] ORDERS = {{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};

    /**
     * Bounds of the exploration.
     *
     * @param messages in flight at once
     * @param suspicions raised in total, by all instances
     * @param deaths of processes in total
     */
    public record Bounds(int messages, int suspicions, int deaths) {}

    /** A message in flight: all entries that the sender held. */
    private record Mail(int to, List<Member> entries) {}

    /** State of the whole system. A dead process has no replica (null); only its last incarnation is remembered. */
    public record Fleet(
            List<MembershipReplica> alive, long[] remembered, List<Mail> mail, int suspicions, int deaths, int lives) {
        private MembershipReplica of(int id) {
            return alive.get(id);
        }
    }

    private final Bounds bounds;
    private final Function<Member, MembershipReplica> begin;
    private final UnaryOperator<MembershipReplica> copy;

    /** {@code begin} creates and {@code copy} copies the replica implementation to explore. */
    public MemberProtocol(
            Bounds bounds, Function<Member, MembershipReplica> begin, UnaryOperator<MembershipReplica> copy) {
        this.bounds = bounds;
        this.begin = begin;
        this.copy = copy;
    }

    /** Explores the production implementation. */
    public static MemberProtocol real(Bounds bounds) {
        return new MemberProtocol(bounds, e -> new Real(e), k -> new Real(k));
    }

    private static final class Real extends MembershipReplica {
        Real(Member self) {
            super(self, INSTANCES);
        }

        Real(MembershipReplica of) {
            super(of);
        }
    }

    private MembershipReplica life(int id, long remembered, int life) {
        return begin.apply(Member.start(id, remembered + 1, life, 0, new byte[0]));
    }

    @Override
    public Fleet initial() {
        List<MembershipReplica> all = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            all.add(life(i, 0, 1));
        }
        for (MembershipReplica k : all) {
            all.forEach(other -> k.merge(0, other.self()));
        }
        return new Fleet(all, new long[INSTANCES], List.of(), 0, 0, 1);
    }

    // ---- moves

    @Override
    public List<Move<Fleet>> moves(Fleet f) {
        List<Move<Fleet>> moves = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            if (f.of(i) == null) {
                moves.add(start(f, i, true));
                moves.add(start(f, i, false));
                continue;
            }
            for (int j = 0; j < INSTANCES; j++) {
                if (i != j) {
                    send(f, i, j, moves);
                    addSuspicionMoves(f, i, j, moves);
                }
            }
            if (f.deaths() < bounds.deaths()) {
                moves.add(die(f, i));
            }
        }
        for (int m = 0; m < f.mail().size(); m++) {
            if (m == 0 || !f.mail().get(m).equals(f.mail().get(m - 1))) {
                mail(f, m, moves);
            }
        }
        return moves;
    }

    private static Fleet with(
            Fleet f,
            int id,
            MembershipReplica k,
            List<Mail> mail,
            int suspicions,
            int deaths,
            int lives,
            long[] remembered) {
        List<MembershipReplica> alive = new ArrayList<>(f.alive());
        alive.set(id, k);
        return new Fleet(alive, remembered, mail, suspicions, deaths, lives);
    }

    private void send(Fleet f, int from, int to, List<Move<Fleet>> moves) {
        if (f.mail().size() < bounds.messages()) {
            List<Mail> mail = new ArrayList<>(f.mail());
            mail.add(new Mail(to, List.copyOf(f.of(from).all())));
            moves.add(new Move<>(
                    from + " tells " + to + " " + f.of(from).all(),
                    new Fleet(f.alive(), f.remembered(), mail, f.suspicions(), f.deaths(), f.lives()),
                    null));
        }
    }

    private void addSuspicionMoves(Fleet f, int i, int j, List<Move<Fleet>> moves) {
        Member e = f.of(i).get(j);
        if (e != null && e.state() == MemberState.ALIVE && f.suspicions() < bounds.suspicions()) {
            MembershipReplica k = copy.apply(f.of(i));
            k.suspect(j);
            moves.add(new Move<>(
                    i + " suspects " + j,
                    with(f, i, k, f.mail(), f.suspicions() + 1, f.deaths(), f.lives(), f.remembered()),
                    null));
        }
        if (e != null && e.state() == MemberState.SUSPECT) {
            MembershipReplica k = copy.apply(f.of(i));
            k.declareDead(j);
            moves.add(new Move<>(
                    i + " gives " + j + " up",
                    with(f, i, k, f.mail(), f.suspicions(), f.deaths(), f.lives(), f.remembered()),
                    null));
        }
    }

    private static Move<Fleet> die(Fleet f, int id) {
        long[] remembered = f.remembered().clone();
        remembered[id] = f.of(id).self().incarnation();
        return new Move<>(
                id + " dies", with(f, id, null, f.mail(), f.suspicions(), f.deaths() + 1, f.lives(), remembered), null);
    }

    private Move<Fleet> start(Fleet f, int id, boolean remembers) {
        int life = f.lives() + 1;
        MembershipReplica k = life(id, remembers ? f.remembered()[id] : 0, life);
        return new Move<>(
                id + " starts again " + (remembers ? "with" : "without") + " its incarnation",
                with(f, id, k, f.mail(), f.suspicions(), f.deaths(), life, f.remembered()),
                null);
    }

    private void mail(Fleet f, int m, List<Move<Fleet>> moves) {
        Mail mail = f.mail().get(m);
        List<Mail> rest = new ArrayList<>(f.mail());
        rest.remove(m);
        moves.add(new Move<>(
                "a message to " + mail.to() + " is lost",
                new Fleet(f.alive(), f.remembered(), rest, f.suspicions(), f.deaths(), f.lives()),
                null));
        if (f.of(mail.to()) == null) {
            return;
        }
        MembershipReplica k = copy.apply(f.of(mail.to()));
        String broken = tell(k, mail.entries());
        moves.add(new Move<>(
                mail.to() + " hears " + mail.entries(),
                with(f, mail.to(), k, rest, f.suspicions(), f.deaths(), f.lives(), f.remembered()),
                broken));
        moves.add(new Move<>(
                mail.to() + " hears " + mail.entries() + ", which comes once more",
                with(f, mail.to(), copy.apply(k), f.mail(), f.suspicions(), f.deaths(), f.lives(), f.remembered()),
                broken));
    }

    /** Merges the entries; returns the violated property if an entry regresses, else null. */
    private static String tell(MembershipReplica k, List<Member> entries) {
        for (Member said : entries) {
            Member before = k.get(said.id());
            k.merge(0, said);
            Member after = k.get(said.id());
            if (before != null && after.compareIncarnation(before) < 0) {
                return "what " + k.self().id() + " holds of " + said.id() + " goes back from " + before + " to "
                        + after;
            }
            if (before != null
                    && after.compareIncarnation(before) == 0
                    && after.state().compareTo(before.state()) < 0) {
                return k.self().id() + " takes back " + before + " for " + after + ", which nobody refuted";
            }
        }
        return null;
    }

    // ---- invariants

    @Override
    public String broken(Fleet f) {
        List<MembershipReplica> all = new ArrayList<>();
        f.alive().stream().filter(k -> k != null).forEach(k -> all.add(copy.apply(k)));
        boolean changed = true;
        for (int round = 0; round < ROUNDS && changed; round++) {
            changed = false;
            for (MembershipReplica from : all) {
                for (MembershipReplica to : all) {
                    List<Member> before = List.copyOf(to.all());
                    if (from != to) {
                        tell(to, List.copyOf(from.all()));
                    }
                    changed |= !before.equals(List.copyOf(to.all()));
                }
            }
        }
        if (changed) {
            return "after " + ROUNDS + " rounds without loss it is not settled";
        }
        for (MembershipReplica a : all) {
            for (MembershipReplica b : all) {
                Member held = a.get(b.self().id());
                if (a.digest() != b.digest()) {
                    return a.self().id() + " and " + b.self().id() + " exchange without loss and hold " + a.all()
                            + " and " + b.all();
                }
                if (held == null || !held.equals(b.self()) || held.state() != MemberState.ALIVE) {
                    return a.self().id() + " holds " + held + ", and it is " + b.self();
                }
            }
        }
        return null;
    }

    // ---- symmetry reduction: states that differ only in instance ids share a key

    @Override
    public String key(Fleet f) {
        String least = null;
        for (int[] order : ORDERS) {
            String key = key(f, order);
            if (least == null || key.compareTo(least) < 0) {
                least = key;
            }
        }
        return least;
    }

    private static String key(Fleet f, int[] names) {
        String[] parts = new String[INSTANCES];
        for (int i = 0; i < INSTANCES; i++) {
            StringBuilder s = new StringBuilder();
            if (f.of(i) == null) {
                s.append('-').append(f.remembered()[i]);
            } else {
                append(s, f.of(i).all(), names);
            }
            parts[names[i]] = s.toString();
        }
        List<String> mail = new ArrayList<>();
        for (Mail m : f.mail()) {
            StringBuilder s = new StringBuilder().append(names[m.to()]).append('<');
            append(s, m.entries(), names);
            mail.add(s.toString());
        }
        mail.sort(null);
        return Arrays.toString(parts) + mail + f.suspicions() + '.' + f.deaths();
    }

    private static void append(StringBuilder s, Iterable<Member> entries, int[] names) {
        String[] each = new String[INSTANCES];
        for (Member e : entries) {
            TreeSet<Integer> by = new TreeSet<>();
            e.confirmers().forEach(c -> by.add(names[c]));
            each[names[e.id()]] =
                    e.incarnation() + "/" + e.processNonce() + e.state().ordinal() + by;
        }
        s.append(Arrays.toString(each));
    }
}
