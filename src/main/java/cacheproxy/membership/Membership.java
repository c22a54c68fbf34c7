package cacheproxy.membership;

import cacheproxy.membership.MembershipMessage.Kind;
import cacheproxy.membership.OutgoingMessage.Urgency;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One instance's part in the view that the fleet keeps. Takes times and messages, gives messages: whoever owns the
 * sockets calls {@link #tick} when {@link #dueMs} has come, {@link #messageReceived} for each message, and sends what
 * {@link #outgoing} hands out. Messages may be lost, late, doubled, out of order, or wrong.
 *
 * <p>Every second round asks the one that follows on a ring of all that live, so that each is watched by somebody; the
 * others go through all in a drawn order, as in SWIM. Every fourth looks for one that is gone, so that a healed cut is
 * found from both sides. One that does not answer, not by helpers either, is suspected; a few that all can name look at
 * once, and when they confirm it, it is soon given up. An instance gives another up only if it has failed to reach it
 * itself.
 */
public final class Membership {
    /** The most bytes of a message. */
    public static final int MAX_MESSAGE_BYTES = 250;

    /** What of the budget for messages is free: one for all parts of the program, which somebody else keeps. */
    public interface Allowance {
        /**
         * Takes a message's bytes out of the budget.
         *
         * @return whether there was room for it; if not, it must not be sent
         */
        boolean take(double nowMs, int bytes, Urgency urgency);

        /** How many bytes may be added to a message for what may as well go later; 0 or less for none. */
        int spareBytes(double nowMs);
    }
    /** A call that comes so much later than it was due means that this process stood still. */
    static final double STILL_MS = 500;
    /** News waits so long for more of it. */
    private static final double GATHER_MS = 40;
    /** Slices are compared with others only so often. */
    private static final double DIFFER_MS = 150;

    private static final double BUSY_DIFFER_MS = 600;
    private static final int SLICE_MESSAGES = 3;
    private static final int RETURN_ROUNDS = 4;
    private static final int JOIN_ASKS = 3;
    private static final int RING_ASKS = 2;
    private static final int MOST_PROBES = 64;
    private static final int LEAST_MANY = 3;
    private static final int PART_MANY = 12;
    /** Who was heard within this time stands on this side of a cut. */
    private static final double HEARD_MS = 1500;
    /** An own attempt that is older says nothing of now. */
    private static final double EVIDENCE_MS = 1500;
    /** Those who were not to look wait so much longer for the word of those who were. */
    private static final double OTHERS_MS = 3000;
    /** Who is to look at one that is suspected is asked again so often, as more are. */
    private static final double LOOK_MS = 600;
    /** A death that comes without a suspicion is believed only so much later. */
    private static final double CLAIM_MS = 800;

    private record Claim(Member said, double dueMs) {}

    private final MembershipSettings settings;
    private final int me;
    private final SplittableRandom random;
    private final Allowance allowance;
    private final Knowledge knowledge;
    private final MemberTable table;
    private final LocalMember own;
    private final GossipQueue news = new GossipQueue();
    private final LocalHealth health = new LocalHealth();
    private final Map<Integer, Probe> probes = new LinkedHashMap<>();
    private final Map<Integer, Suspicion> suspicions = new HashMap<>();
    /** Deaths that are not believed yet, by who is said to be dead. */
    private final Map<Integer, Claim> claims = new LinkedHashMap<>();

    private final Map<Integer, Double> heardMs = new HashMap<>();
    private final Map<Integer, Double> goneMs = new HashMap<>();
    /** Probes that have failed last, with their targets: an answer to one of them came late. */
    private final Map<Integer, Integer> late = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Integer> eldest) {
            return size() > MOST_PROBES;
        }
    };
    /** Those who do not know what is held of them. */
    private final Set<Integer> owed = new HashSet<>();

    private final List<OutgoingMessage> out = new ArrayList<>();
    private final List<Integer> order = new ArrayList<>();
    /** The numbers of those that live but for this one, by their place on the ring; null when that has changed. */
    private List<Integer> others;

    private double lastMs = Double.NaN;
    private double roundMs;
    private double flushMs = Double.POSITIVE_INFINITY;
    private double differMs;
    private double repliedMs = Double.NEGATIVE_INFINITY;
    private int turn;
    private int number;
    private long unreadable;
    private long deathsRefuted;

    /**
     * Begins a life. Nothing is sent before the first {@link #tick}.
     *
     * @param me this instance's number
     * @param zone where it stands, 0 to {@link Member#MAX_ZONE}
     * @param address where it is reached, 6 bytes; empty where the settings name it
     * @param remembered the incarnation of its last life; 0 if nothing is remembered
     * @param seed new at each start
     * @param allowance what may be sent
     */
    public Membership(
            MembershipSettings settings,
            int me,
            int zone,
            byte[] address,
            long remembered,
            long seed,
            Allowance allowance) {
        this.settings = settings;
        this.allowance = allowance;
        this.me = me;
        random = new SplittableRandom(seed);
        knowledge = new Knowledge(
                Member.start(me, remembered + 1, random.nextInt(0x10000), zone, address), settings.capacity());
        table = knowledge.table();
        own = knowledge.localMember();
        news.changed(me);
        number = random.nextInt(0x10000);
    }

    // ---- what it is told

    /** What this instance says of its service from now on. */
    public void phase(ServicePhase phase) {
        own.phase(phase);
        ownChanged();
    }

    /** What one part of the program, 0 to 7, publishes by this instance; empty for nothing. */
    public void note(int part, byte[] bytes) {
        own.note(part, bytes);
        ownChanged();
    }

    /** This instance leaves for good; to be followed by a {@link #tick} whose messages still go out. */
    public void leave(double nowMs) {
        own.leave();
        ownChanged();
        probes.clear();
        suspicions.clear();
        flush(nowMs, 2 * settings.fanout());
    }

    private void ownChanged() {
        if (table.merge(own.member()) != null) {
            news.changed(me);
        }
    }

    /** A message has come. {@code from}: whose address it came from, negative if addresses tell nothing. */
    public void messageReceived(double nowMs, int from, byte[] body) {
        wake(nowMs);
        MembershipMessage m = MembershipMessage.decode(body);
        if (m == null
                || (from >= 0 && m.members().get(0).id() != from)
                || m.members().get(0).id() == me) {
            unreadable++;
            return;
        }
        int sender = m.members().get(0).id();
        m.members().forEach(e -> take(nowMs, e));
        Member held = table.get(sender);
        if (held == null) {
            return; // no room for it
        }
        heardMs.put(sender, nowMs);
        Member said = m.members().get(0);
        if (held.compareIncarnation(said) != 0 || held.state() != said.state()) {
            owed.add(sender);
        }
        switch (m.kind()) {
            case PING -> send(nowMs, Kind.ACK, sender, m.number(), MembershipMessage.NO_MEMBER, Urgency.ANSWER);
            case ACK -> answered(nowMs, m, sender);
            case PING_REQUEST -> help(nowMs, m, sender);
            case DIGESTS -> differ(nowMs, m, sender);
            case GOSSIP, MEMBERS -> {}
        }
        if (m.kind() == Kind.ACK && m.digest() != table.digest() && nowMs >= differMs) {
            // While there is news under way digests differ for that alone.
            differMs = nowMs + (news.isEmpty() ? DIFFER_MS : BUSY_DIFFER_MS);
            sendSlices(nowMs, sender, 0);
        }
    }

    /** Takes in what is said of somebody. */
    private void take(double nowMs, Member said) {
        if (said.id() == me) {
            boolean thisLife = said.processNonce() == own.member().processNonce();
            if (knowledge.merge(nowMs, said) == Knowledge.MergeResult.REFUTED) {
                if (thisLife) {
                    health.suspected();
                    deathsRefuted += said.state() == MemberState.DEAD ? 1 : 0;
                }
                news.changed(me);
            }
        } else if (settings.isConfigured(said.id())
                || said.address().length > 0
                || settings.seeds().contains(said.id())) {
            boolean forgotten =
                    table.get(said.id()) == null && !said.state().isLive() && !settings.isConfigured(said.id());
            if (!forgotten && !heldBack(nowMs, said)) {
                apply(nowMs, said);
            }
        }
    }

    /**
     * A death of which no suspicion was heard before comes from beyond a cut, or late. The one concerned is asked
     * first, and told so that it may refute; it is believed when that has not come in time. Otherwise a cut that heals
     * would have each side give up its own neighbours for a moment.
     */
    private boolean heldBack(double nowMs, Member said) {
        Member held = table.get(said.id());
        if (said.state() != MemberState.DEAD
                || held == null
                || held.state() != MemberState.ALIVE
                || held.compareIncarnation(said) != 0) {
            return false;
        }
        if (claims.putIfAbsent(said.id(), new Claim(said, nowMs + CLAIM_MS)) == null) {
            post(
                    nowMs,
                    said.id(),
                    new MembershipMessage(
                            Kind.GOSSIP,
                            0,
                            MembershipMessage.NO_MEMBER,
                            table.digest(),
                            new int[0],
                            List.of(own.member(), said)),
                    Urgency.MEMBERSHIP_CHANGE);
        }
        return true;
    }

    private void apply(double nowMs, Member said) {
        Member before = table.get(said.id());
        Member now = table.merge(said);
        if (now == null) {
            return;
        }
        news.changed(now.id());
        boolean livedBefore = before != null && before.state().isLive();
        if (livedBefore != now.state().isLive()) {
            others = null;
        }
        if (now.state().isLive()) {
            goneMs.remove(now.id());
        } else {
            goneMs.putIfAbsent(now.id(), nowMs);
            probes.values().removeIf(p -> p.target == now.id() && p.purpose != Probe.Purpose.REJOIN);
        }
        Suspicion s = suspicions.get(now.id());
        if (s != null && (now.state() != MemberState.SUSPECT || !s.concerns(now))) {
            suspicions.remove(now.id());
            s = null;
        }
        if (now.state() == MemberState.SUSPECT && s == null && own.member().state() != MemberState.LEFT) {
            suspicions.put(now.id(), new Suspicion(now, nowMs)); // the next tick looks
        }
    }

    // ---- time

    /** Does what is due. */
    public void tick(double nowMs) {
        wake(nowMs);
        for (Probe p : List.copyOf(probes.values())) {
            if (p.nextMs <= nowMs && probes.get(p.number) == p) {
                advance(nowMs, p);
            }
        }
        for (Claim c : List.copyOf(claims.values())) {
            if (c.dueMs() <= nowMs) {
                claims.remove(c.said().id());
                apply(nowMs, c.said());
            }
        }
        for (int id : List.copyOf(suspicions.keySet())) {
            Suspicion s = suspicions.get(id);
            if (s != null && s.confirmAtMs <= nowMs) {
                s.confirmAtMs = nowMs + LOOK_MS;
                if (nowMs - s.ownProbeFailedMs > EVIDENCE_MS * health.lossFactor() && looks(table.get(id))) {
                    probe(nowMs, id, Probe.Purpose.CONFIRM_SUSPICION);
                }
            }
            if (s != null && endMs(id) <= nowMs) {
                end(nowMs, id);
            }
        }
        if (own.member().state() != MemberState.LEFT && nowMs >= roundMs) {
            round(nowMs);
        }
        if (news.takeChanged() && flushMs == Double.POSITIVE_INFINITY) {
            flushMs = nowMs + GATHER_MS;
        }
        if (nowMs >= flushMs) {
            flush(nowMs, settings.fanout());
        }
    }

    /** When {@link #tick} wants to be called next, in milliseconds; after anything else that was told, at once. */
    public double dueMs() {
        double due = own.member().state() == MemberState.LEFT ? Double.POSITIVE_INFINITY : roundMs;
        for (Probe p : probes.values()) {
            due = Math.min(due, p.nextMs);
        }
        for (int id : suspicions.keySet()) {
            due = Math.min(due, Math.min(endMs(id), suspicions.get(id).confirmAtMs));
        }
        for (Claim c : claims.values()) {
            due = Math.min(due, c.dueMs());
        }
        return Math.min(due, flushMs);
    }

    /** What is to go out now, in the order in which it was decided; handed out once. */
    public List<OutgoingMessage> outgoing() {
        List<OutgoingMessage> all = List.copyOf(out);
        out.clear();
        return all;
    }

    /** A process that stood still knows nothing of the others, and must not hold its own silence against them. */
    private void wake(double nowMs) {
        if (!Double.isNaN(lastMs)) {
            double late = nowMs - Math.max(lastMs, dueMs());
            if (late > STILL_MS) {
                health.stalled();
                probes.clear();
                claims.replaceAll((id, c) -> new Claim(c.said(), c.dueMs() + late));
                suspicions.values().forEach(s -> {
                    s.startedMs += late;
                    s.ownProbeFailedMs = Double.NEGATIVE_INFINITY;
                });
                roundMs = nowMs;
            }
        }
        lastMs = nowMs;
    }

    private void round(double nowMs) {
        roundMs = nowMs + settings.roundMs() * health.intervalFactor() * (0.9 + 0.2 * random.nextDouble());
        turn++;
        goneMs.entrySet().removeIf(e -> {
            boolean forget = !settings.isConfigured(e.getKey()) && nowMs - e.getValue() > settings.forgetMs();
            if (forget) {
                table.remove(e.getKey());
                heardMs.remove(e.getKey());
                news.remove(e.getKey());
            }
            return forget;
        });
        List<Integer> ring = others();
        if (ring.isEmpty() || turn % RETURN_ROUNDS == 0) {
            List<Integer> gone = gone();
            for (int i = ring.isEmpty() ? JOIN_ASKS : 1; i > 0 && !gone.isEmpty(); i--) {
                probe(nowMs, gone.remove(random.nextInt(gone.size())), Probe.Purpose.REJOIN);
            }
            if (ring.isEmpty()) {
                return;
            }
        }
        int target = turn % 2 == 0 ? drawn(ring) : next(ring);
        if (target >= 0) {
            probe(nowMs, target, Probe.Purpose.ROUND);
        }
    }

    /** Those who may be there and do not live as far as is known. */
    private List<Integer> gone() {
        Set<Integer> all = new HashSet<>(settings.seeds());
        for (int i = 0; i < settings.configured(); i++) {
            all.add(i);
        }
        all.addAll(goneMs.keySet());
        all.remove(me);
        all.removeIf(id -> table.get(id) != null && table.get(id).state().isLive());
        return new ArrayList<>(all.stream().sorted().toList());
    }

    private List<Integer> others() {
        if (others == null) {
            others = table.all().stream()
                    .filter(e -> e.id() != me && e.state().isLive())
                    .map(Member::id)
                    .sorted(Comparator.comparingLong(id -> Member.mix(id)))
                    .toList();
        }
        return others;
    }

    /** The next on the ring that this instance neither suspects nor asks already; negative if there is none. */
    private int next(List<Integer> ring) {
        long mine = Member.mix(me);
        int at = 0;
        while (at < ring.size() && Member.mix(ring.get(at)) < mine) {
            at++;
        }
        for (int i = 0; i < ring.size(); i++) {
            int id = ring.get((at + i) % ring.size());
            Suspicion s = suspicions.get(id);
            if ((s == null || s.ownProbeFailedMs == Double.NEGATIVE_INFINITY)
                    && probes.values().stream().noneMatch(p -> p.target == id && p.purpose == Probe.Purpose.ROUND)) {
                return id;
            }
        }
        return -1;
    }

    /** All of them in a drawn order, one after another. */
    private int drawn(List<Integer> ring) {
        while (true) {
            if (order.isEmpty()) {
                order.addAll(ring);
                for (int i = order.size() - 1; i > 0; i--) {
                    int k = random.nextInt(i + 1);
                    Integer swap = order.get(i);
                    order.set(i, order.get(k));
                    order.set(k, swap);
                }
            }
            int id = order.remove(order.size() - 1);
            Member e = table.get(id);
            if (e != null && e.state().isLive()) {
                return id;
            }
        }
    }

    // ---- probes

    private void probe(double nowMs, int target, Probe.Purpose why) {
        boolean running = probes.values().stream().anyMatch(p -> p.target == target && p.purpose == why);
        if (!running) {
            begin(nowMs, new Probe(number(), target, why, MembershipMessage.NO_MEMBER, 0, nowMs));
        }
    }

    private int number() {
        do {
            number = (number + 1) & 0xffff;
        } while (probes.containsKey(number));
        return number;
    }

    private void begin(double nowMs, Probe p) {
        if (probes.size() < MOST_PROBES && ask(nowMs, p)) {
            probes.put(p.number, p);
        }
    }

    /** Whether there was room to ask; who was not asked has not failed to answer. */
    private boolean ask(double nowMs, Probe p) {
        p.nextMs = nowMs + settings.pingTimeoutMs() * health.intervalFactor();
        boolean sent = send(
                nowMs,
                Kind.PING,
                p.target,
                p.number,
                MembershipMessage.NO_MEMBER,
                p.purpose == Probe.Purpose.REJOIN ? Urgency.BACKGROUND : Urgency.MEMBERSHIP_CHANGE);
        p.pings += sent ? 1 : 0;
        return sent;
    }

    private void advance(double nowMs, Probe p) {
        boolean over = nowMs >= p.startedMs + settings.probeTimeoutMs() * health.intervalFactor() * health.lossFactor();
        if (p.purpose == Probe.Purpose.REJOIN || over) {
            probes.remove(p.number);
            failed(nowMs, p);
            return;
        }
        if (p.pings == 1 && !many() && (p.purpose == Probe.Purpose.ROUND || p.purpose == Probe.Purpose.BEFORE_DEATH)) {
            // Those who confirm a suspicion are helpers themselves; at a cut there is no way round.
            helpers(p.target)
                    .forEach(h -> send(nowMs, Kind.PING_REQUEST, h, p.number, p.target, Urgency.MEMBERSHIP_CHANGE));
        }
        ask(nowMs, p);
        p.nextMs = Math.min(
                p.nextMs, p.startedMs + settings.probeTimeoutMs() * health.intervalFactor() * health.lossFactor());
    }

    private List<Integer> helpers(int target) {
        return drawn(settings.helpers(), target);
    }

    /** So many of those that live and are not suspected, drawn. */
    private List<Integer> drawn(int many, int but) {
        List<Integer> all = new ArrayList<>(others());
        List<Integer> some = new ArrayList<>();
        while (some.size() < many && !all.isEmpty()) {
            int id = all.remove(random.nextInt(all.size()));
            if (id != but && !suspicions.containsKey(id)) {
                some.add(id);
            }
        }
        return some;
    }

    private void help(double nowMs, MembershipMessage m, int asker) {
        if (m.target() != me && table.get(m.target()) != null) {
            begin(nowMs, new Probe(number(), m.target(), Probe.Purpose.FOR_PEER, asker, m.number(), nowMs));
        }
    }

    private void answered(double nowMs, MembershipMessage m, int sender) {
        Probe p = probes.get(m.number());
        if (p == null
                && m.target() == MembershipMessage.NO_MEMBER
                && Integer.valueOf(sender).equals(late.remove(m.number()))) {
            health.answeredLate();
        }
        if (p == null || p.target != (m.target() == MembershipMessage.NO_MEMBER ? sender : m.target())) {
            return;
        }
        probes.remove(p.number);
        health.probeAnswered(p.pings);
        if (p.purpose == Probe.Purpose.FOR_PEER) {
            send(nowMs, Kind.ACK, p.requester, p.requesterNumber, p.target, Urgency.ANSWER);
        }
        Suspicion s = suspicions.get(p.target);
        if (s != null) {
            s.ownProbeFailedMs = Double.NEGATIVE_INFINITY; // it has been told, and refutes what others say
        }
    }

    private void failed(double nowMs, Probe p) {
        Member e = table.get(p.target);
        if (p.purpose == Probe.Purpose.REJOIN
                || p.purpose == Probe.Purpose.FOR_PEER
                || e == null
                || !e.state().isLive()) {
            return;
        }
        late.put(p.number, p.target);
        if (p.purpose == Probe.Purpose.BEFORE_DEATH) {
            if (suspicions.containsKey(p.target)) {
                apply(nowMs, e.withState(MemberState.DEAD));
            }
            return;
        }
        boolean first = e.state() == MemberState.ALIVE;
        apply(nowMs, e.suspectedBy(me));
        Suspicion s = suspicions.get(p.target);
        if (s != null) {
            s.ownProbeFailedMs = nowMs;
        }
        if (p.purpose == Probe.Purpose.ROUND) {
            // Where one is gone there may be more: those behind it on the ring are asked at once.
            for (int i = 0; i < RING_ASKS; i++) {
                int next = next(others());
                if (next >= 0) {
                    probe(nowMs, next, Probe.Purpose.ROUND);
                }
            }
        }
        Collection<Integer> told = first ? lookers(e) : table.get(p.target).confirmers();
        told.stream()
                .filter(t -> t != me && t != p.target)
                .forEach(t -> send(nowMs, Kind.GOSSIP, t, 0, MembershipMessage.NO_MEMBER, Urgency.MEMBERSHIP_CHANGE));
    }

    // ---- suspicions

    /**
     * Those who look at once after one that is suspected; alike at all whose views are. Who is suspected looks after
     * nobody: at a cut those on this side soon take the place of those on the other.
     */
    private List<Integer> lookers(Member suspect) {
        long salt = Member.mix(suspect.id() * 31L + suspect.incarnation());
        List<Integer> all = new ArrayList<>(others());
        all.add(me);
        boolean many = many();
        double since = lastMs - HEARD_MS;
        all.removeIf(id -> id == suspect.id()
                || suspicions.containsKey(id)
                || (many && id != me && heardMs.getOrDefault(id, Double.NEGATIVE_INFINITY) < since));
        all.sort(Comparator.comparingLong(id -> Member.mix(id ^ salt)));
        return all.subList(0, Math.min(settings.confirmers(), all.size()));
    }

    /**
     * So many are suspected at once that a way is cut rather than that they died one by one. Those who would be named
     * to look then stand beyond the cut for the most part, so only such are named as were just heard, and one of them
     * is enough.
     */
    private boolean many() {
        return suspicions.size() > Math.max(LEAST_MANY, others().size() / PART_MANY);
    }

    private boolean looks(Member suspect) {
        return lookers(suspect).contains(me);
    }

    private double endMs(int id) {
        Suspicion s = suspicions.get(id);
        Member e = table.get(id);
        int wanted = Math.min(many() ? 1 : settings.confirmers(), others().size() - suspicions.size());
        double end = s.endMs(settings, e.confirmers().size(), wanted);
        boolean mine = e.confirmers().contains(me) || s.ownProbeFailedMs != Double.NEGATIVE_INFINITY;
        double slow = s.startedMs + (end - s.startedMs) * health.intervalFactor() * health.lossFactor();
        double looking = probes.values().stream()
                .filter(p -> p.target == id && p.purpose == Probe.Purpose.BEFORE_DEATH)
                .mapToDouble(p -> p.nextMs)
                .findFirst()
                .orElse(Double.NEGATIVE_INFINITY);
        return Math.max(looking, slow + (mine ? 0 : OTHERS_MS));
    }

    private void end(double nowMs, int id) {
        Suspicion s = suspicions.get(id);
        if (nowMs - s.ownProbeFailedMs <= EVIDENCE_MS * health.lossFactor()) {
            apply(nowMs, table.get(id).withState(MemberState.DEAD));
        } else if (probes.values().stream().noneMatch(p -> p.target == id && p.purpose == Probe.Purpose.BEFORE_DEATH)) {
            s.ownProbeFailedMs = Double.NEGATIVE_INFINITY;
            probe(nowMs, id, Probe.Purpose.BEFORE_DEATH);
            if (probes.values().stream().noneMatch(p -> p.target == id && p.purpose == Probe.Purpose.BEFORE_DEATH)) {
                s.startedMs = nowMs; // too much to do; later
            }
        }
    }

    // ---- what goes out

    private void flush(double nowMs, int many) {
        flushMs = Double.POSITIVE_INFINITY;
        if (news.isEmpty()) {
            return;
        }
        for (int to : drawn(many, me)) {
            send(nowMs, Kind.GOSSIP, to, 0, MembershipMessage.NO_MEMBER, Urgency.BACKGROUND);
        }
    }

    /** Whether there was room for it. */
    private boolean send(double nowMs, Kind kind, int to, int probe, int target, Urgency urgency) {
        List<Member> entries = new ArrayList<>(List.of(own.member()));
        Member its = table.get(to);
        if (its != null && (owed.remove(to) || its.state() != MemberState.ALIVE)) {
            entries.add(its);
        }
        if (target != MembershipMessage.NO_MEMBER && target != to && table.get(target) != null) {
            entries.add(table.get(target));
        }
        int bytes = MembershipMessage.headBytes(kind)
                + entries.stream().mapToInt(MembershipMessage::bytes).sum();
        int room = Math.min(
                MAX_MESSAGE_BYTES - bytes, kind == Kind.GOSSIP ? MAX_MESSAGE_BYTES : allowance.spareBytes(nowMs));
        List<Member> more = news.take(table, room, me);
        more.removeIf(e -> entries.stream().anyMatch(x -> x.id() == e.id()));
        entries.addAll(more);
        return post(
                nowMs, to, new MembershipMessage(kind, probe, target, table.digest(), new int[0], entries), urgency);
    }

    private boolean post(double nowMs, int to, MembershipMessage message, Urgency urgency) {
        byte[] body = message.encode();
        boolean room = allowance.take(nowMs, body.length, urgency);
        if (room) {
            out.add(new OutgoingMessage(to, body, urgency));
        }
        return room;
    }

    private void differ(double nowMs, MembershipMessage m, int sender) {
        List<Integer> slices = new ArrayList<>();
        for (int i = 0; i < MemberTable.SLICES; i++) {
            if (m.sliceDigests()[i] != table.digest(i)) {
                slices.add(i);
            }
        }
        if (slices.isEmpty()) {
            return;
        }
        if (m.number() == 0) {
            if (nowMs < repliedMs + DIFFER_MS) {
                return; // many find at once that this one lags behind, and one of them is enough
            }
            repliedMs = nowMs;
            sendSlices(nowMs, sender, 1);
        }
        List<Member> left = new ArrayList<>();
        slices.forEach(i -> left.addAll(table.inSlice(i)));
        left.removeIf(e -> e.id() == me);
        for (int i = 0; i < SLICE_MESSAGES && (i == 0 || !left.isEmpty()); i++) {
            sendSome(nowMs, sender, left);
        }
    }

    private void sendSome(double nowMs, int to, List<Member> left) {
        List<Member> entries = new ArrayList<>(List.of(own.member()));
        int room =
                MAX_MESSAGE_BYTES - MembershipMessage.headBytes(Kind.MEMBERS) - MembershipMessage.bytes(own.member());
        while (!left.isEmpty()) {
            int at = random.nextInt(left.size());
            int bytes = MembershipMessage.bytes(left.get(at));
            if (bytes > room) {
                break;
            }
            room -= bytes;
            entries.add(left.remove(at));
        }
        post(
                nowMs,
                to,
                new MembershipMessage(
                        Kind.MEMBERS, 0, MembershipMessage.NO_MEMBER, table.digest(), new int[0], entries),
                Urgency.BACKGROUND);
    }

    /** {@code reply}: 1 if this answers the other's own. */
    private void sendSlices(double nowMs, int to, int reply) {
        int[] digests = new int[MemberTable.SLICES];
        for (int i = 0; i < digests.length; i++) {
            digests[i] = table.digest(i);
        }
        post(
                nowMs,
                to,
                new MembershipMessage(
                        Kind.DIGESTS,
                        reply,
                        MembershipMessage.NO_MEMBER,
                        table.digest(),
                        digests,
                        List.of(own.member())),
                Urgency.MEMBERSHIP_CHANGE);
    }

    // ---- what it knows

    /** The fleet as this instance sees it now. */
    public MembershipView view(double nowMs) {
        return new MembershipView(
                me,
                nowMs,
                List.copyOf(table.all()),
                table.digest(),
                settings.configured() == 0 ? null : new ConfiguredMembers(settings.configured()),
                own.disputed());
    }

    /** How many live, as {@link MembershipView#liveMembers} has it. */
    public LiveMembers liveMembers() {
        return new LiveMembers(others().size() + 1);
    }

    /** How often this instance has refuted that it was dead, in this life. */
    public long deathsRefuted() {
        return deathsRefuted;
    }

    /** Alike for instances that hold the same. */
    public int digest() {
        return table.digest();
    }

    /** What is held of an instance, null if nothing is. */
    public Member member(int id) {
        return table.get(id);
    }

    /** The incarnation that is to be remembered beyond this life. */
    public long incarnation() {
        return own.member().incarnation();
    }

    /** Messages that could not be read, or came under another's name. */
    public long unreadable() {
        return unreadable;
    }
}
