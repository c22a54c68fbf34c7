package cacheproxy.membership;

import cacheproxy.membership.MembershipMessage.Kind;
import cacheproxy.membership.OutgoingMessage.Urgency;
import cacheproxy.membership.Probe.Purpose;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One instance's participation in the membership protocol of the fleet: SWIM with the refinements of Lifeguard. Takes
 * times and messages, and returns messages: the owner of the sockets calls {@link #tick} when {@link #dueMs} has come
 * and {@link #messageReceived} for each message, and sends the messages that {@link #takeOutgoing} returns. Messages
 * may be lost, late, duplicated, out of order, or wrong. Not thread-safe.
 *
 * <p>Every second round probes the next member on a ring of all live ones, so that each member is monitored by another;
 * the other rounds probe all members in a shuffled order, as in SWIM. Every fourth round also probes an absent member,
 * so that a healed partition is detected from both sides. {@link FailureDetector} decides what follows from a missing
 * answer, {@link DigestExchange} repairs what gossip has missed.
 */
public final class Membership {
    /** The maximum size of a message, in bytes. */
    public static final int MAX_MESSAGE_BYTES = 250;

    /** The budget for messages, shared by all parts of the program and maintained by the caller. */
    public interface MessageBudget {
        /**
         * Takes the bytes of a message from the budget.
         *
         * @return whether the budget was sufficient; if not, the message must not be sent
         */
        boolean tryAcquire(double nowMs, int bytes, Urgency urgency);

        /**
         * Returns the number of bytes that may be added to a message for content that can be sent later; 0 or less for
         * none.
         */
        int availableBytes(double nowMs);
    }

    /** If a call comes this much later than it was due, this process has stalled. */
    static final double STALL_MS = 500;
    /** The time for which changes are collected before they are gossiped. */
    private static final double GOSSIP_DELAY_MS = 40;
    /** In every round of this many, an absent member is probed as well. */
    private static final int REJOIN_ROUNDS = 4;
    /** The number of members that an instance without a live peer probes in a round. */
    private static final int JOIN_PROBES = 3;
    /**
     * The minimum length of a round and the range above it, relative to the configured length, so that the rounds of
     * instances drift apart.
     */
    private static final double MIN_ROUND_FACTOR = 0.9;

    private static final double ROUND_JITTER = 0.2;
    /** The exclusive upper bound of a random number of 16 bits. */
    private static final int RANDOM_16_BIT_BOUND = 0x10000;

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
     * Starts an incarnation. No message is sent before the first {@link #tick}.
     *
     * @param self the number of this instance
     * @param zone its zone, 0 to {@link Member#MAX_ZONE}
     * @param address its address, 6 bytes; empty if it is configured
     * @param lastIncarnation the last known incarnation of this instance's previous process; 0 if unknown
     * @param seed new at each start
     * @param budget limits what is sent
     */
    public Membership(
            MembershipSettings settings,
            int self,
            int zone,
            byte[] address,
            long lastIncarnation,
            long seed,
            MessageBudget budget) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        int processNonce = random.nextInt(RANDOM_16_BIT_BOUND);
        fleet = new FleetState(settings, Member.start(self, lastIncarnation + 1, processNonce, zone, address));
        transmitter = new Transmitter(fleet, budget);
        selector = new PeerSelector(fleet, random);
        digests = new DigestExchange(fleet, transmitter, random);
        detector = new FailureDetector(
                settings, fleet, selector, transmitter, health, random.nextInt(RANDOM_16_BIT_BOUND));
    }

    // ---- this instance

    /** Sets the phase of its service that this instance announces. */
    public void setPhase(ServicePhase phase) {
        fleet.localMember().setPhase(phase);
        fleet.localMemberChanged();
    }

    /** Publishes a metadata value with the entry of this instance, under a key of 0 to 7; an empty value removes it. */
    public void setMetadata(int key, byte[] value) {
        fleet.localMember().setMetadata(key, value);
        fleet.localMemberChanged();
    }

    /** This instance leaves permanently. Call {@link #tick} afterwards and send the resulting messages. */
    public void leave(double nowMs) {
        fleet.localMember().leave();
        fleet.localMemberChanged();
        detector.stop();
        sendGossip(nowMs, 2 * settings.fanout());
    }

    // ---- messages

    /**
     * A message has been received. {@code from}: the instance whose address the message came from, negative if
     * addresses do not identify instances.
     */
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
            return; // the sender was not accepted, for example for lack of room
        }
        fleet.received(sender.id(), nowMs);
        if (known.compareIncarnation(sender) != 0 || known.state() != sender.state()) {
            transmitter.markOutdated(sender.id());
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
                        nowMs, Kind.ACK, sender, message.number(), MembershipMessage.NO_MEMBER, Urgency.RESPONSE);
            case ACK -> {
                detector.ackReceived(nowMs, message, sender);
                digests.digestReceived(nowMs, sender, message.digest());
            }
            case PING_REQUEST -> detector.pingRequested(nowMs, message, sender);
            case DIGESTS -> digests.sliceDigestsReceived(nowMs, message, sender);
            case GOSSIP, MEMBERS -> {}
        }
    }

    /** Processes what is reported of a member. */
    private void memberReceived(double nowMs, Member reported) {
        if (reported.id() == fleet.self()) {
            ownEntryReceived(nowMs, reported);
            return;
        }
        boolean configured = settings.isConfigured(reported.id());
        boolean reachable =
                configured || reported.address().length > 0 || settings.seeds().contains(reported.id());
        boolean forgotten =
                fleet.get(reported.id()) == null && !reported.state().isLive() && !configured;
        if (reachable && !forgotten && !deferDeath(nowMs, reported)) {
            detector.apply(nowMs, reported);
        }
    }

    private void ownEntryReceived(double nowMs, Member reported) {
        boolean ofThisProcess =
                reported.processNonce() == fleet.localMember().member().processNonce();
        if (fleet.refuteIfWrong(nowMs, reported) && ofThisProcess) {
            health.suspected();
            deathsRefuted += reported.state() == MemberState.DEAD ? 1 : 0;
        }
    }

    /**
     * Defers a reported death if it has to wait, and informs the member so that it may refute it; returns whether it
     * was deferred.
     */
    private boolean deferDeath(double nowMs, Member reported) {
        if (!DeathClaims.isClaim(fleet.get(reported.id()), reported)) {
            return false;
        }
        if (deathClaims.add(nowMs, reported)) {
            transmitter.sendMembers(nowMs, Kind.GOSSIP, reported.id(), List.of(reported), Urgency.MEMBERSHIP_CHANGE);
        }
        return true;
    }

    /** Returns the messages to be sent now, in the order in which they were decided; each is returned once. */
    public List<OutgoingMessage> takeOutgoing() {
        return transmitter.takeQueue();
    }

    // ---- time

    /** Executes what is due. */
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
            sendGossip(nowMs, settings.fanout());
        }
    }

    /**
     * Returns when to call {@link #tick} next, in milliseconds. After any other event it has to be called immediately.
     */
    public double dueMs() {
        double dueMs = fleet.hasLeft() ? Double.POSITIVE_INFINITY : nextRoundMs;
        dueMs = Math.min(dueMs, detector.dueMs());
        dueMs = Math.min(dueMs, deathClaims.dueMs());
        return Math.min(dueMs, gossipMs);
    }

    /**
     * A process that has stalled has no information about the others, and must not count its own pause as their
     * silence.
     */
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
        double jitter = MIN_ROUND_FACTOR + ROUND_JITTER * random.nextDouble();
        nextRoundMs = nowMs + settings.roundMs() * health.intervalFactor() * jitter;
        round++;
        fleet.removeLongAbsent(nowMs);
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

    private void sendGossip(double nowMs, int receivers) {
        gossipMs = Double.POSITIVE_INFINITY;
        if (fleet.gossip().isEmpty()) {
            return;
        }
        selector.sample(receivers, id -> id != fleet.self() && !detector.isSuspected(id))
                .forEach(id -> transmitter.sendGossip(nowMs, id, Urgency.BACKGROUND));
    }

    // ---- what is known

    /** Returns the fleet as this instance sees it now. */
    public MembershipView view(double nowMs) {
        return new MembershipView(
                fleet.self(),
                nowMs,
                List.copyOf(fleet.table().all()),
                fleet.table().digest(),
                settings.configuredCount() == 0 ? null : new ConfiguredMembers(settings.configuredCount()),
                fleet.localMember().disputed());
    }

    /** Returns the number of live members, as in {@link MembershipView#liveMembers}. */
    public LiveMembers liveMembers() {
        return new LiveMembers(fleet.liveOthers().size() + 1);
    }

    /** Returns how often this process has refuted its death. */
    public long deathsRefuted() {
        return deathsRefuted;
    }

    /** Returns a digest that is equal for instances that know the same. */
    public int digest() {
        return fleet.table().digest();
    }

    /** Returns what is known of a member; null if nothing is. */
    public Member member(int id) {
        return fleet.get(id);
    }

    /** Returns the incarnation of this instance, which its next process has to know. */
    public long incarnation() {
        return fleet.localMember().member().incarnation();
    }

    /** Returns the number of messages that were malformed or sent under the number of another instance. */
    public long rejectedMessages() {
        return rejectedMessages;
    }
}
