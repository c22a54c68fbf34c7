package cacheproxy.membership;

import cacheproxy.membership.MembershipMessage.Kind;
import cacheproxy.membership.OutgoingMessage.Urgency;
import cacheproxy.membership.Probe.Purpose;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One instance's part in the membership protocol of the fleet: SWIM with the refinements of Lifeguard. Takes times and
 * messages, gives messages: whoever owns the sockets calls {@link #tick} when {@link #dueMs} has come,
 * {@link #messageReceived} for each message, and sends what {@link #takeOutgoing} hands out. Messages may be lost,
 * late, duplicated, out of order, or wrong. Not thread-safe.
 *
 * <p>Every second round probes the next member on a ring of all live ones, so that each is watched by somebody; the
 * other rounds go through all in a shuffled order, as in SWIM. Every fourth also probes one that is gone, so that a
 * healed partition is found from both sides. {@link FailureDetector} decides what follows from an answer that doesn't
 * come, {@link DigestExchange} repairs what gossip has missed.
 */
public final class Membership {
    /** The longest message, in bytes. */
    public static final int MAX_MESSAGE_BYTES = 250;

    /** The budget for messages; one for all parts of the program, which somebody else keeps. */
    public interface MessageBudget {
        /**
         * Takes a message's bytes out of the budget.
         *
         * @return whether there was room for it; if not, it must not be sent
         */
        boolean tryAcquire(double nowMs, int bytes, Urgency urgency);

        /** How many bytes may be added to a message for what could as well go later; 0 or less for none. */
        int availableBytes(double nowMs);
    }

    /** A call that comes so much later than it was due means that this process has stalled. */
    static final double STALL_MS = 500;
    /** Changes wait so long for more of them before they are gossiped. */
    private static final double GOSSIP_DELAY_MS = 40;
    /** Every so many rounds a member that is gone is probed as well. */
    private static final int REJOIN_ROUNDS = 4;
    /** How many members an instance that knows no live one probes in a round. */
    private static final int JOIN_PROBES = 3;
    /** The least length of a round and the range above it, by the settings' length: rounds of instances drift apart. */
    private static final double MIN_ROUND_PART = 0.9;

    private static final double ROUND_JITTER = 0.2;
    /** A random number of 16 bits is below this. */
    private static final int NUMBERS = 0x10000;

    private final MembershipSettings settings;
    private final SplittableRandom random;
    private final FleetState fleet;
    private final Transmitter transmitter;
    private final PeerSelector selector;
    private final DigestExchange digests;
    private final FailureDetector detector;
    private final LocalHealth health = new LocalHealth();
    private final DeathClaims deathClaims = new DeathClaims();
    private double lastCallMs = Double.NaN;
    private double nextRoundMs;
    private double gossipMs = Double.POSITIVE_INFINITY;
    private int round;
    private long rejectedMessages;
    private long deathsRefuted;

    /**
     * Begins an incarnation. Nothing is sent before the first {@link #tick}.
     *
     * @param self this instance's number
     * @param zone its zone, 0 to {@link Member#MAX_ZONE}
     * @param address where it is reached, 6 bytes; empty where the settings name it
     * @param lastIncarnation the incarnation of its last process; 0 if that is unknown
     * @param seed new at each start
     * @param allowance what may be sent
     */
    public Membership(
            MembershipSettings settings,
            int self,
            int zone,
            byte[] address,
            long lastIncarnation,
            long seed,
            MessageBudget allowance) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        int processNonce = random.nextInt(NUMBERS);
        fleet = new FleetState(settings, Member.start(self, lastIncarnation + 1, processNonce, zone, address));
        transmitter = new Transmitter(fleet, allowance);
        selector = new PeerSelector(fleet, random);
        digests = new DigestExchange(fleet, transmitter, random);
        detector = new FailureDetector(settings, fleet, selector, transmitter, health, random.nextInt(NUMBERS));
    }

    // ---- this instance

    /** The phase of its service that this instance tells from now on. */
    public void setPhase(ServicePhase phase) {
        fleet.localMember().setPhase(phase);
        fleet.localMemberChanged();
    }

    /** What one part of the program, 0 to 7, publishes by this instance; empty for nothing. */
    public void setMetadata(int part, byte[] bytes) {
        fleet.localMember().setMetadata(part, bytes);
        fleet.localMemberChanged();
    }

    /** This instance leaves for good; to be followed by a {@link #tick} whose messages are still sent. */
    public void leave(double nowMs) {
        fleet.localMember().leave();
        fleet.localMemberChanged();
        detector.stop();
        gossip(nowMs, 2 * settings.fanout());
    }

    // ---- messages

    /** A message has been received. {@code from}: whose address it came from, negative if addresses tell nothing. */
    public void messageReceived(double nowMs, int from, byte[] body) {
        checkForStall(nowMs);
        MembershipMessage message = MembershipMessage.decode(body);
        if (message == null || !isPlausibleSender(message.sender().id(), from)) {
            rejectedMessages++;
            return;
        }
        Member sender = message.sender();
        message.members().forEach(m -> memberReceived(nowMs, m));
        Member known = fleet.get(sender.id());
        if (known == null) {
            return; // there was no room for it
        }
        fleet.received(sender.id(), nowMs);
        if (known.compareIncarnation(sender) != 0 || known.state() != sender.state()) {
            transmitter.markUnaware(sender.id());
        }
        handle(nowMs, message, sender.id());
    }

    private boolean isPlausibleSender(int sender, int from) {
        return sender != fleet.self() && (from < 0 || sender == from);
    }

    private void handle(double nowMs, MembershipMessage message, int sender) {
        switch (message.kind()) {
            case PING ->
                transmitter.send(
                        nowMs, Kind.ACK, sender, message.number(), MembershipMessage.NO_MEMBER, Urgency.ANSWER);
            case ACK -> {
                detector.ackReceived(nowMs, message, sender);
                digests.digestReceived(nowMs, sender, message.digest());
            }
            case PING_REQUEST -> detector.pingRequested(nowMs, message, sender);
            case DIGESTS -> digests.sliceDigestsReceived(nowMs, message, sender);
            case GOSSIP, MEMBERS -> {}
        }
    }

    /** Takes in what is said of a member. */
    private void memberReceived(double nowMs, Member said) {
        if (said.id() == fleet.self()) {
            selfReceived(nowMs, said);
            return;
        }
        boolean configured = settings.isConfigured(said.id());
        boolean reachable =
                configured || said.address().length > 0 || settings.seeds().contains(said.id());
        boolean forgotten = fleet.get(said.id()) == null && !said.state().isLive() && !configured;
        if (reachable && !forgotten && !deferDeath(nowMs, said)) {
            detector.apply(nowMs, said);
        }
    }

    private void selfReceived(double nowMs, Member said) {
        boolean ofThisProcess =
                said.processNonce() == fleet.localMember().member().processNonce();
        if (fleet.refuteIfWrong(nowMs, said) && ofThisProcess) {
            health.suspected();
            deathsRefuted += said.state() == MemberState.DEAD ? 1 : 0;
        }
    }

    /** Whether what is said is a death that has to wait; the member is told, so that it may refute it. */
    private boolean deferDeath(double nowMs, Member said) {
        if (!DeathClaims.isClaim(fleet.get(said.id()), said)) {
            return false;
        }
        if (deathClaims.add(nowMs, said)) {
            transmitter.sendMembers(nowMs, Kind.GOSSIP, said.id(), List.of(said), Urgency.MEMBERSHIP_CHANGE);
        }
        return true;
    }

    /** The messages to be sent now, in the order in which they were decided; each is handed out once. */
    public List<OutgoingMessage> takeOutgoing() {
        return transmitter.takeQueue();
    }

    // ---- time

    /** Does what is due. */
    public void tick(double nowMs) {
        checkForStall(nowMs);
        detector.tickProbes(nowMs);
        deathClaims.takeDue(nowMs).forEach(dead -> detector.apply(nowMs, dead));
        detector.tickSuspicions(nowMs);
        if (!fleet.hasLeft() && nowMs >= nextRoundMs) {
            beginRound(nowMs);
        }
        if (fleet.gossip().takeChanged() && gossipMs == Double.POSITIVE_INFINITY) {
            gossipMs = nowMs + GOSSIP_DELAY_MS;
        }
        if (nowMs >= gossipMs) {
            gossip(nowMs, settings.fanout());
        }
    }

    /** When {@link #tick} is to be called next, in milliseconds; after any other event at once. */
    public double dueMs() {
        double dueMs = fleet.hasLeft() ? Double.POSITIVE_INFINITY : nextRoundMs;
        dueMs = Math.min(dueMs, detector.dueMs());
        dueMs = Math.min(dueMs, deathClaims.dueMs());
        return Math.min(dueMs, gossipMs);
    }

    /** A process that has stalled knows nothing of the others, and must not hold its own silence against them. */
    private void checkForStall(double nowMs) {
        if (!Double.isNaN(lastCallMs)) {
            double lateMs = nowMs - Math.max(lastCallMs, dueMs());
            if (lateMs > STALL_MS) {
                health.stalled();
                detector.stalled(lateMs);
                deathClaims.postpone(lateMs);
                nextRoundMs = nowMs;
            }
        }
        lastCallMs = nowMs;
    }

    private void beginRound(double nowMs) {
        double jitter = MIN_ROUND_PART + ROUND_JITTER * random.nextDouble();
        nextRoundMs = nowMs + settings.roundMs() * health.intervalFactor() * jitter;
        round++;
        fleet.forgetLongAbsent(nowMs);
        boolean alone = fleet.liveOthers().isEmpty();
        if (alone || round % REJOIN_ROUNDS == 0) {
            probeAbsentMembers(nowMs, alone ? JOIN_PROBES : 1);
        }
        if (alone) {
            return;
        }
        if (round % 2 == 0) {
            detector.probe(nowMs, selector.nextShuffled(), Purpose.ROUND);
        } else {
            detector.probeNextOnRing(nowMs);
        }
    }

    private void probeAbsentMembers(double nowMs, int count) {
        List<Integer> absent = fleet.absentMembers();
        for (int i = count; i > 0 && !absent.isEmpty(); i--) {
            detector.probe(nowMs, absent.remove(random.nextInt(absent.size())), Purpose.REJOIN);
        }
    }

    private void gossip(double nowMs, int receivers) {
        gossipMs = Double.POSITIVE_INFINITY;
        if (fleet.gossip().isEmpty()) {
            return;
        }
        selector.sample(receivers, id -> id != fleet.self() && !detector.isSuspected(id))
                .forEach(id -> transmitter.sendGossip(nowMs, id, Urgency.BACKGROUND));
    }

    // ---- what is known

    /** The fleet as this instance sees it now. */
    public MembershipView view(double nowMs) {
        return new MembershipView(
                fleet.self(),
                nowMs,
                List.copyOf(fleet.table().all()),
                fleet.table().digest(),
                settings.configured() == 0 ? null : new ConfiguredMembers(settings.configured()),
                fleet.localMember().disputed());
    }

    /** How many members are live, as in {@link MembershipView#liveMembers}. */
    public LiveMembers liveMembers() {
        return new LiveMembers(fleet.liveOthers().size() + 1);
    }

    /** How often this process has refuted that it was dead. */
    public long deathsRefuted() {
        return deathsRefuted;
    }

    /** Equal for instances that know the same. */
    public int digest() {
        return fleet.table().digest();
    }

    /** What is known of a member; null for nothing. */
    public Member member(int id) {
        return fleet.get(id);
    }

    /** This instance's incarnation, which its next process has to know. */
    public long incarnation() {
        return fleet.localMember().member().incarnation();
    }

    /** Messages that could not be read, or came under another's name. */
    public long rejectedMessages() {
        return rejectedMessages;
    }
}
