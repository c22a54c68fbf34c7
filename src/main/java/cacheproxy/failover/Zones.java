package cacheproxy.failover;

import cacheproxy.failover.Judge.Verdict;
import cacheproxy.failover.ZoneState.Cause;
import cacheproxy.membership.Member;
import cacheproxy.membership.MembershipView;
import cacheproxy.routing.ZoneDirective;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One instance's part in leaving zones and returning to them. Takes what its attempts met, the list and the fleet's
 * view; gives orders for the decision module and notes for the view. Whoever owns the sockets calls {@link #tick}
 * often, at least each {@link #TICK_MS}.
 *
 * <p>Everybody judges by the same reports and would decide the same; who does is a matter of turns, by a rank that
 * differs from zone to zone and from epoch to epoch, so that none can be missed. Whoever is first raises the epoch, the
 * others take it over. Where too little of the fleet is heard, what was decided on evidence does not hold, and each
 * keeps to its own.
 */
public final class Zones {
    /** The longest time between two ticks, in milliseconds. */
    public static final double TICK_MS = 100;
    /** The note of the view that holds the plan. */
    public static final int PLAN_NOTE = 0;
    /** The note of the view that holds what is seen. */
    public static final int SIGHT_NOTE = 1;
    /** Who is next in rank decides so much later: what the one before says should have come by then. */
    private static final double TURN_MS = 80;

    private static final int LAST_TURN = 8;
    /**
     * All others decide only so late: each that decides has news for all, and if the first word takes longer than the
     * turns, as it does when there is much news, a hundred that speak at once make it take longer still.
     */
    private static final double OTHERS_TURN_MS = 2500;
    /** Instances that try a zone that is not whole, and how often each does. */
    private static final int TRIERS = 3;

    private static final double TRY_MS = 800;
    /** A zone that is not found sound, or poor, for so long has to be found so anew. */
    private static final double GAP_MS = 2000;
    /** So many publish what they see at once; the others only if nothing has come of that. */
    private static final int SPEAKERS = 12;

    private static final double OTHERS_SPEAK_MS = 1200;
    /** What is seen is published so often at most, but that a zone is lost. */
    private static final double PUBLISH_MS = 400;
    /**
     * So many carry what others have decided in their own entries: that each does would be news of all at every step.
     */
    private static final int CARRIERS = 5;
    /** Who finds that nobody goes on with an operator's order does. */
    private static final double TAKE_OVER_MS = 6000;
    /** The longest that an operator may have a zone left over. */
    public static final double LONGEST_OVER_MS = 75_000;

    private static final int MOST_EVENTS = 64;

    /**
     * Something that has happened to a zone.
     *
     * @param before the state until then
     * @param now the state from now on
     * @param why for people
     */
    public record Event(int zone, ZoneState before, ZoneState now, String why) {}

    /**
     * How a zone stands.
     *
     * @param open for so much of its keys, 0 to 1, as this instance's decision module is told
     * @param state as decided
     * @param sight this instance's own
     * @param verdict of those who are heard
     * @param sinceMs how long it has been so
     * @param why it came to be so
     */
    public record Status(
            int zone, double open, ZoneState state, Sight sight, String verdict, double sinceMs, String why) {}

    /**
     * What leaving a zone would cost, by what this instance sees now.
     *
     * @param movedPerSecond requests of this instance a second that would go elsewhere; each moved key misses once
     * @param othersTimes by how much the load of the other zones' nodes would grow, 1 for not at all
     * @param allowed whether the floor still holds then
     */
    public record Cost(double movedPerSecond, double othersTimes, boolean allowed) {}

    /**
     * What an instance held of a zone, for its next life.
     *
     * @param state as decided
     * @param floor an epoch that there has been, at least the state's; the next decision goes beyond it
     */
    public record Held(ZoneState state, int floor) {}

    /** One zone. */
    private static final class Part {
        int floor;
        int ready = 1;
        double coldUntilMs = Double.NEGATIVE_INFINITY;
        /** The last step opened it further. */
        boolean rising;
        /** It was left though it answered: what speaks for it has to do so for longer. */
        boolean wasPoor;

        double changedMs = Double.NEGATIVE_INFINITY;
        String why = "never left";
        Verdict verdict = Verdict.UNSURE;
        double poorMs = Double.NEGATIVE_INFINITY;
        double lastPoorMs = Double.NEGATIVE_INFINITY;
        double soundMs = Double.NEGATIVE_INFINITY;
        double lastSoundMs = Double.NEGATIVE_INFINITY;
        int ordered = ZoneState.WHOLE;
        double triedMs = Double.NEGATIVE_INFINITY;
        /** What would be decided now, and since when; null for nothing. */
        ZoneState wish;

        double wishedMs;
        /** Between two steps of an order to leave that was given to this instance; 0 if none was. */
        double overStepMs;

        double badMs = Double.NaN;
    }

    private record Read(Member entry, Report report) {}

    private final ZoneSettings settings;
    private final Observer observer;
    private final Map<Integer, Read> read = new HashMap<>();
    private final List<Part> parts = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private Plan plan;
    /** What this instance's entry says of it: at least what it has decided itself. */
    private Plan carried;

    private boolean quorum;
    private boolean everQuorum;
    private byte[] sightNote = {};
    private double publishedMs = Double.NEGATIVE_INFINITY;
    private long decided;

    /** Knows of no decision. */
    public Zones(ZoneSettings settings) {
        this.settings = settings;
        observer = new Observer(settings.decided());
        plan = Plan.untouched(settings.decided());
        carried = plan;
        for (int z = 0; z < settings.decided(); z++) {
            parts.add(new Part());
        }
    }

    // ---- what it is told

    /** A cache node of a zone has answered an attempt; {@code hit}: it had what it was asked for. */
    public void answered(double nowMs, int zone, boolean hit) {
        if (zone < parts.size()) {
            observer.answered(nowMs, zone, hit);
            parts.get(zone).triedMs =
                    Double.NEGATIVE_INFINITY; // one that answers is asked again at once: two answers are wanted
        }
    }

    /** A cache node of a zone is overdue, did not answer or ended the connection instead. */
    public void silent(double nowMs, int zone, int server) {
        if (zone < parts.size()) {
            observer.silent(nowMs, zone, server);
        }
    }

    /** The origin has ended a fetch, in time or not. */
    public void origin(double nowMs, boolean inTime) {
        observer.origin(nowMs, inTime);
    }

    /**
     * What the list says of a zone.
     *
     * @param ready its cache nodes that may be sent requests
     * @param coldUntilMs when half of them or more will have been warm; anything in the past if they are
     */
    public void listed(int zone, int ready, double coldUntilMs) {
        if (zone < parts.size()) {
            parts.get(zone).ready = ready;
            parts.get(zone).coldUntilMs = coldUntilMs;
            observer.servers(zone, ready);
        }
    }

    /**
     * Goes on where this instance's last life ended. What held then is heard like any other's word, so whoever knows
     * better goes before it; where it is too old to hold, only its epoch counts, as the least that a decision goes
     * beyond.
     *
     * @param last what was held, by zone; others are left alone
     * @param holds whether it still may, by its age
     */
    public void remember(double nowMs, Map<Integer, Held> last, boolean holds) {
        for (Map.Entry<Integer, Held> e : last.entrySet()) {
            int z = e.getKey();
            if (z >= 0 && z < parts.size()) {
                parts.get(z).floor = Math.max(parts.get(z).floor, e.getValue().floor());
                ZoneState s = e.getValue().state();
                if (holds && s.compareTo(plan.of(z)) > 0) {
                    changed(nowMs, z, plan.of(z), s, "held in this instance's last life");
                    plan = plan.with(z, s);
                    carried = carried.with(z, s);
                }
            }
        }
    }

    /** What is held of each zone of which anything was ever decided, for the next life. */
    public Map<Integer, Held> held() {
        Map<Integer, Held> all = new TreeMap<>();
        for (int z = 0; z < parts.size(); z++) {
            int floor = Math.max(parts.get(z).floor, plan.of(z).epoch());
            if (floor > 0) {
                all.put(z, new Held(plan.of(z), floor));
            }
        }
        return all;
    }

    // ---- operators

    /**
     * Has a zone left, at once or over a time, until it is returned to or released. An IllegalArgumentException says
     * why not.
     */
    public void leave(double nowMs, int zone, double overMs) {
        check(zone);
        if (!(overMs >= 0 && overMs <= LONGEST_OVER_MS)) {
            throw new IllegalArgumentException("a zone is left over 0 to " + Math.round(LONGEST_OVER_MS / 1000) + " s");
        }
        if (!plan.bears(zone, 0)) {
            throw new IllegalArgumentException(
                    "without this zone less than a third of all would be open; return to another first");
        }
        ZoneState s = plan.of(zone);
        int open = overMs == 0 ? 0 : s.open();
        parts.get(zone).overStepMs = overMs / Math.max(1, s.open());
        decide(nowMs, zone, s.next(open, Cause.LEAVE, s.leaves()), "an operator's order here");
    }

    /** Has a zone opened step by step, whatever is seen of it, and forgets that it was left. */
    public void comeBack(double nowMs, int zone) {
        check(zone);
        decide(nowMs, zone, plan.of(zone).next(plan.of(zone).open(), Cause.RETURN, 0), "an operator's order here");
    }

    /** Has a zone stay as it is, whatever is seen of it, until it is released. */
    public void hold(double nowMs, int zone) {
        check(zone);
        decide(
                nowMs,
                zone,
                plan.of(zone)
                        .next(plan.of(zone).open(), Cause.HOLD, plan.of(zone).leaves()),
                "an operator's order here");
    }

    /** Takes operators' orders back: what is seen of the zone decides again. */
    public void release(double nowMs, int zone) {
        check(zone);
        decide(
                nowMs,
                zone,
                plan.of(zone)
                        .next(
                                plan.of(zone).open(),
                                Cause.EVIDENCE,
                                plan.of(zone).leaves()),
                "an operator's order here");
    }

    private void check(int zone) {
        if (zone < 0 || zone >= parts.size()) {
            throw new IllegalArgumentException("zone " + zone + " takes no part; the first " + parts.size() + " do");
        }
    }

    /** What leaving a zone would cost. */
    public Cost cost(double nowMs, int zone) {
        check(zone);
        double all = 0;
        for (int z = 0; z < parts.size(); z++) {
            all += parts.get(z).ready * (double) plan.open(z);
        }
        double its = parts.get(zone).ready * (double) plan.open(zone);
        return new Cost(
                observer.perSecond(nowMs, zone),
                all > its ? all / (all - its) : Double.POSITIVE_INFINITY,
                plan.bears(zone, 0));
    }

    // ---- time

    /**
     * Takes the fleet's view, decides what is due, and says what holds for the decision module where that has changed.
     */
    public List<ZoneDirective> tick(double nowMs, MembershipView view) {
        List<Report> reports = new ArrayList<>();
        Set<Integer> homes = new HashSet<>();
        if (read.size() > 2 * view.members().size()) {
            read.clear(); // most of them are forgotten
        }
        for (Member e : view.members()) {
            homes.add(e.zone());
            if (e.id() == settings.me()) {
                continue;
            }
            Report r = read(e);
            adopt(nowMs, r);
            if (e.state().isLive()) {
                reports.add(r);
            }
        }
        List<Sight> sights = sights(nowMs);
        Set<Integer> cold = new HashSet<>();
        for (int z = 0; z < parts.size(); z++) {
            if (observer.cold(nowMs, z)) {
                cold.add(z);
            }
        }
        boolean tight = observer.originTight(nowMs);
        reports.add(new Report(settings.me(), settings.home(), sights, cold, tight, plan));
        homes.add(settings.home());
        Judge judge = new Judge(reports, homes);
        boolean before = quorum;
        quorum = judge.quorum() && knows(view);
        for (int z = 0; z < parts.size(); z++) {
            judge(nowMs, z, judge, reports);
        }
        if (rank(0, reports) < CARRIERS) {
            carried = plan;
        }
        publish(nowMs, reports, sights, cold, tight);
        return orders(nowMs, reports, quorum && !before && everQuorum);
    }

    /** What an entry says; read anew only where it has changed. */
    @SuppressWarnings("ReferenceEquality") // immutable: the same entry says the same
    private Report read(Member e) {
        Read before = read.get(e.id());
        if (before == null || before.entry() != e) {
            before = new Read(e, Report.decode(e.id(), e.zone(), e.note(SIGHT_NOTE), e.note(PLAN_NOTE), parts.size()));
            read.put(e.id(), before);
        }
        return before.report();
    }

    /** Who has just started has met too few to know where the fleet stands. */
    private static boolean knows(MembershipView view) {
        return view.configuredMembers() == null
                || 2 * view.members().size() > view.configuredMembers().count();
    }

    private List<Sight> sights(double nowMs) {
        List<Sight> all = new ArrayList<>();
        for (int z = 0; z < parts.size(); z++) {
            all.add(observer.sight(nowMs, z));
        }
        return all;
    }

    @SuppressWarnings("ReferenceEquality") // a join gives back the same plan where nothing is new
    private void adopt(double nowMs, Report r) {
        Plan joined = plan.join(r.plan());
        if (joined == plan) {
            return;
        }
        for (int z = 0; z < parts.size(); z++) {
            if (!joined.of(z).equals(plan.of(z))) {
                changed(nowMs, z, plan.of(z), joined.of(z), "heard from instance " + r.instance());
            }
        }
        plan = joined;
    }

    private void judge(double nowMs, int zone, Judge judge, List<Report> reports) {
        Part p = parts.get(zone);
        Verdict v = judge.of(zone);
        p.verdict = v;
        if (v == Verdict.POOR) {
            p.poorMs = nowMs - p.lastPoorMs > GAP_MS ? nowMs : p.poorMs;
            p.lastPoorMs = nowMs;
            p.lastSoundMs = Double.NEGATIVE_INFINITY;
        }
        if (v == Verdict.SOUND) {
            p.soundMs = nowMs - p.lastSoundMs > GAP_MS ? nowMs : p.soundMs;
            p.lastSoundMs = nowMs;
        }
        ZoneState s = plan.of(zone);
        ZoneState wish = wish(nowMs, zone, judge);
        if (wish == null) {
            p.wish = null;
            return;
        }
        if (!wish.equals(p.wish)) {
            p.wish = wish;
            p.wishedMs = nowMs;
        }
        int rank = rank(zone, reports);
        if (nowMs - p.wishedMs >= (rank < LAST_TURN ? rank * TURN_MS : OTHERS_TURN_MS)) {
            decide(
                    nowMs,
                    zone,
                    wish,
                    switch (s.cause()) {
                        case EVIDENCE ->
                            "found " + v.name().toLowerCase(Locale.ROOT) + " by " + reports.size() + " instances";
                        default -> "going on with an operator's order";
                    });
        }
    }

    /** What should be decided of a zone now; null for nothing. */
    private ZoneState wish(double nowMs, int zone, Judge judge) {
        Part p = parts.get(zone);
        ZoneState s = plan.of(zone);
        double since = nowMs - p.changedMs;
        return switch (s.cause()) {
            case HOLD -> null;
            case LEAVE ->
                s.open() > 0 && since >= (p.overStepMs > 0 ? p.overStepMs : TAKE_OVER_MS)
                        ? s.next(s.open() - 1, Cause.LEAVE, s.leaves())
                        : null;
            case RETURN -> s.open() == ZoneState.WHOLE ? s.next(s.open(), Cause.EVIDENCE, 0) : up(nowMs, zone, judge);
            case EVIDENCE -> quorum ? byEvidence(nowMs, zone, judge) : null;
        };
    }

    private ZoneState byEvidence(double nowMs, int zone, Judge judge) {
        Part p = parts.get(zone);
        ZoneState s = plan.of(zone);
        double since = nowMs - p.changedMs;
        boolean whole = s.open() == ZoneState.WHOLE;
        return switch (p.verdict) {
            case LOST -> plan.lowered(zone, 0, s.leaves() + 1);
            case POOR ->
                nowMs - p.poorMs < Pace.POOR_MS || since < Pace.POOR_MS || !othersWhole(zone)
                        ? null
                        : plan.lowered(
                                zone,
                                Math.max(0, s.open() - Pace.LEAVE_PARTS),
                                whole || p.rising ? s.leaves() + 1 : s.leaves());
            case SOUND ->
                whole
                        ? forget(since, s)
                        : !p.rising && nowMs - p.soundMs < Pace.patience(s.leaves(), p.wasPoor)
                                ? null
                                : up(nowMs, zone, judge);
            // The fewer of its keys are left the less is seen of it: what began as poor goes on unless it is found
            // sound.
            case UNSURE ->
                whole
                        ? forget(since, s)
                        : s.open() > 0
                                        && p.wasPoor
                                        && othersWhole(zone)
                                        && since >= 2 * Pace.POOR_MS
                                        && nowMs - p.lastSoundMs > GAP_MS
                                ? plan.lowered(zone, Math.max(0, s.open() - Pace.LEAVE_PARTS), s.leaves())
                                : null;
        };
    }

    /**
     * Whether no other zone is left. While one is, the rest have its keys beside their own, and what is slow there is
     * slow for that: to leave it as well would be to leave one after another.
     */
    private boolean othersWhole(int zone) {
        for (int z = 0; z < parts.size(); z++) {
            if (z != zone && plan.of(z).open() < ZoneState.WHOLE) {
                return false;
            }
        }
        return true;
    }

    private static ZoneState forget(double since, ZoneState s) {
        return s.leaves() > 0 && since >= Pace.FORGET_MS ? s.next(s.open(), Cause.EVIDENCE, s.leaves() - 1) : null;
    }

    private ZoneState up(double nowMs, int zone, Judge judge) {
        Part p = parts.get(zone);
        ZoneState s = plan.of(zone);
        boolean cold = nowMs < p.coldUntilMs || judge.cold(zone);
        double step = Pace.stepMs(cold, settings.warmUpMs());
        double since = nowMs - Math.max(p.changedMs, p.soundMs);
        // A tight origin makes the return slower and does not end it: what is left out has others' nodes miss as well.
        return nowMs - p.changedMs < step || (judge.originTight() && since < Pace.TIGHT_STEPS * step)
                ? null
                : s.next(Math.min(ZoneState.WHOLE, s.open() + Pace.parts(cold)), s.cause(), s.leaves());
    }

    private void decide(double nowMs, int zone, ZoneState decision, String why) {
        ZoneState before = plan.of(zone);
        if (decision.equals(before)) {
            return;
        }
        ZoneState next = decision.beyond(parts.get(zone).floor);
        decided++;
        plan = plan.with(zone, next);
        carried = plan;
        changed(nowMs, zone, before, next, why);
    }

    private void changed(double nowMs, int zone, ZoneState before, ZoneState now, String why) {
        Part p = parts.get(zone);
        p.rising = now.open() > before.open();
        p.wasPoor = now.open() > 0 ? !p.rising : p.wasPoor && before.open() < ZoneState.WHOLE;
        p.changedMs = nowMs;
        p.why = why;
        p.wish = null;
        if (now.cause() != Cause.LEAVE) {
            p.overStepMs = 0;
        }
        if (events.size() < MOST_EVENTS) {
            events.add(new Event(zone, before, now, why));
        }
    }

    /**
     * By which those who live take turns in deciding of a zone, in speaking of it and in trying it; the same at all.
     */
    private static long turn(int zone, int instance) {
        return Member.mix(instance ^ zone * 0x9e37_79b9_7f4a_7c15L);
    }

    /** How many come before this instance. */
    private int rank(int zone, List<Report> reports) {
        long mine = turn(zone, settings.me());
        int before = 0;
        for (Report r : reports) {
            before += turn(zone, r.instance()) < mine ? 1 : 0;
        }
        return before;
    }

    /** Whether this instance is of those who try a zone: from as many zones as can be, from that one last. */
    private boolean tries(int zone, List<Report> reports) {
        List<Report> ranked = new ArrayList<>(reports);
        ranked.sort(Comparator.comparingLong(r -> turn(zone, r.instance())));
        Set<Integer> some = new HashSet<>();
        Set<Integer> from = new HashSet<>(Set.of(zone));
        for (int round = 0; round < 2; round++) {
            for (Report r : ranked) {
                if (some.size() < TRIERS && !some.contains(r.instance()) && (from.add(r.home()) || round > 0)) {
                    some.add(r.instance());
                }
            }
        }
        return some.contains(settings.me());
    }

    // ---- what goes out

    private List<ZoneDirective> orders(double nowMs, List<Report> reports, boolean regained) {
        everQuorum |= quorum;
        List<ZoneDirective> orders = new ArrayList<>();
        for (int z = 0; z < parts.size(); z++) {
            Part p = parts.get(z);
            int open = effective(z);
            boolean tries = open < ZoneState.WHOLE
                    && quorum
                    && plan.of(z).cause() == Cause.EVIDENCE
                    && nowMs - p.triedMs >= TRY_MS
                    && tries(z, reports);
            boolean afresh = open > 0 && (p.ordered == 0 || regained);
            if (tries) {
                p.triedMs = nowMs;
            }
            if (open != p.ordered || tries || afresh) {
                p.ordered = open;
                orders.add(new ZoneDirective(z, (double) open / ZoneState.WHOLE, tries, afresh));
            }
        }
        return orders;
    }

    /** What was decided on evidence holds only while enough is heard to take it back. */
    private int effective(int zone) {
        return quorum || plan.of(zone).cause() != Cause.EVIDENCE ? plan.open(zone) : ZoneState.WHOLE;
    }

    /**
     * What is published of what is seen: nothing while all is well everywhere. Where something is wrong, each says what
     * speaks against a zone, some say also what speaks for it, and of a zone that is left those who try it.
     */
    private void publish(double nowMs, List<Report> reports, List<Sight> sights, Set<Integer> cold, boolean tight) {
        boolean alarm = reports.stream().anyMatch(r -> r.sights().stream().anyMatch(Sight::bad));
        List<Sight> said = new ArrayList<>();
        Set<Integer> saidCold = new HashSet<>();
        boolean lost = false;
        boolean left = false;
        boolean speaks = rank(0, reports) < SPEAKERS;
        for (int z = 0; z < sights.size(); z++) {
            Part p = parts.get(z);
            Sight s = sights.get(z);
            p.badMs = !s.bad() ? Double.NaN : Double.isNaN(p.badMs) ? nowMs : p.badMs;
            boolean whole = plan.of(z).open() == ZoneState.WHOLE;
            boolean says = s.bad()
                    ? speaks || (nowMs - p.badMs >= OTHERS_SPEAK_MS && plan.open(z) > 0)
                    : s == Sight.GOOD && ((alarm && speaks) || (!whole && tries(z, reports)));
            said.add(says ? s : Sight.NONE);
            lost |= says && s == Sight.LOST;
            left |= !whole;
            if (says && cold.contains(z) && !whole) {
                saidCold.add(z);
            }
        }
        byte[] note = Report.encode(said, saidCold, left && tight);
        if (!Arrays.equals(note, sightNote) && (lost || nowMs - publishedMs >= PUBLISH_MS)) {
            sightNote = note;
            publishedMs = nowMs;
        }
    }

    /** What is decided as far as this instance is to say so, for the note {@link #PLAN_NOTE}. */
    public byte[] planNote() {
        return carried.encode();
    }

    /** What is seen, for the note {@link #SIGHT_NOTE}. */
    public byte[] sightNote() {
        return sightNote.clone();
    }

    /** What has happened since this was asked last, the first {@value #MOST_EVENTS}. */
    public List<Event> events() {
        List<Event> all = List.copyOf(events);
        events.clear();
        return all;
    }

    /** What is decided. */
    public Plan plan() {
        return plan;
    }

    /** Whether enough of the fleet is heard to decide for it. */
    public boolean quorum() {
        return quorum;
    }

    /** Decisions that this instance was the first to make. */
    public long decided() {
        return decided;
    }

    /** How each zone stands. */
    public List<Status> status(double nowMs) {
        List<Status> all = new ArrayList<>();
        for (int z = 0; z < parts.size(); z++) {
            Part p = parts.get(z);
            all.add(new Status(
                    z,
                    (double) effective(z) / ZoneState.WHOLE,
                    plan.of(z),
                    observer.sight(nowMs, z),
                    p.verdict.name().toLowerCase(Locale.ROOT),
                    nowMs - p.changedMs,
                    p.why));
        }
        return all;
    }
}
