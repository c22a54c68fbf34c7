package cacheproxy.membership;

import cacheproxy.membership.MembershipMessage.Kind;
import cacheproxy.membership.OutgoingMessage.Urgency;
import cacheproxy.membership.Probe.Purpose;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * SWIM's failure detector: probes members by direct pings and through helpers, suspects a member that does not answer,
 * and declares it dead when the suspicion times out. An instance declares another dead only if its own probe of it has
 * failed. Times in milliseconds.
 */
final class FailureDetector {
    /** The maximum number of concurrent probes; no further probe is started. */
    private static final int MAX_PROBES = 64;
    /** The number of neighbors on the ring that are probed immediately after a failed probe. */
    private static final int NEIGHBOR_PROBES = 2;
    /** The time for which a failed probe by this instance counts as evidence. */
    private static final double EVIDENCE_MS = 1500;
    /** The additional time for which an instance that neither suspects nor confirms waits for those that do. */
    private static final double NON_CONFIRMER_WAIT_MS = 3000;
    /**
     * The interval at which an instance checks again whether it has to confirm a suspicion, since others may have
     * become suspected.
     */
    private static final double CONFIRM_INTERVAL_MS = 600;

    private final MembershipSettings settings;
    private final FleetState fleet;
    private final PeerSelector selector;
    private final Transmitter transmitter;
    private final LocalHealth health;
    private final SuspicionTable suspicions;
    private final Map<Integer, Probe> probes = new LinkedHashMap<>();
    /** The last failed probes by number, with their targets; an answer to one of them is late. */
    private final Map<Integer, Integer> failedProbes = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Integer> eldest) {
            return size() > MAX_PROBES;
        }
    };

    private int lastNumber;

    /**
     * {@code firstNumber}: random, so that answers to probes of an earlier process are not attributed to this one's.
     */
    FailureDetector(
            MembershipSettings settings,
            FleetState fleet,
            PeerSelector selector,
            Transmitter transmitter,
            LocalHealth health,
            int firstNumber) {
        this.settings = settings;
        this.fleet = fleet;
        this.selector = selector;
        this.transmitter = transmitter;
        this.health = health;
        suspicions = new SuspicionTable(settings, fleet);
        lastNumber = firstNumber;
    }

    /** Whether a member is suspected. */
    boolean isSuspected(int id) {
        return suspicions.contains(id);
    }

    /** Merges what is reported of another member, and updates its probes and suspicions. */
    void apply(double nowMs, Member reported) {
        Member updated = fleet.merge(nowMs, reported);
        if (updated == null) {
            return;
        }
        if (!updated.state().isLive()) {
            probes.values().removeIf(p -> p.target == updated.id() && p.purpose != Purpose.REJOIN);
        }
        suspicions.memberChanged(nowMs, updated);
    }

    /** Ends all probes and suspicions because this instance leaves. */
    void stop() {
        probes.clear();
        suspicions.clear();
    }

    /** This process has stalled for this time; probes that were not answered meanwhile are no evidence. */
    void stalled(double byMs) {
        probes.clear();
        suspicions.postpone(byMs);
    }

    // ---- probes

    /** Probes a member, unless it is being probed for this purpose. */
    void probe(double nowMs, int target, Purpose purpose) {
        if (!isProbing(target, purpose)) {
            startProbe(nowMs, new Probe(nextNumber(), target, purpose, MembershipMessage.NO_MEMBER, 0, nowMs));
        }
    }

    private boolean isProbing(int target, Purpose purpose) {
        return probes.values().stream().anyMatch(p -> p.target == target && p.purpose == purpose);
    }

    /**
     * Probes the next member on the ring that is not being probed and whose last probe by this instance did not fail.
     */
    void probeNextOnRing(double nowMs) {
        int target = selector.nextOnRing(id -> {
            Suspicion suspicion = suspicions.get(id);
            return (suspicion == null || !suspicion.hasOwnFailure()) && !isProbing(id, Purpose.ROUND);
        });
        if (target >= 0) {
            probe(nowMs, target, Purpose.ROUND);
        }
    }

    private int nextNumber() {
        do {
            lastNumber = (lastNumber + 1) & 0xffff;
        } while (probes.containsKey(lastNumber));
        return lastNumber;
    }

    private void startProbe(double nowMs, Probe probe) {
        if (probes.size() < MAX_PROBES && ping(nowMs, probe)) {
            probes.put(probe.number, probe);
        }
    }

    /** Sends a ping; returns whether the budget permitted it. A member that was not pinged has not failed to answer. */
    private boolean ping(double nowMs, Probe probe) {
        probe.nextMs = nowMs + settings.pingTimeoutMs() * health.intervalFactor();
        boolean sent = transmitter.send(
                nowMs,
                Kind.PING,
                probe.target,
                probe.number,
                MembershipMessage.NO_MEMBER,
                probe.purpose == Purpose.REJOIN ? Urgency.BACKGROUND : Urgency.MEMBERSHIP_CHANGE);
        probe.pings += sent ? 1 : 0;
        return sent;
    }

    /** Pings again if an answer is overdue, or ends the probe. */
    void tickProbes(double nowMs) {
        for (Probe probe : List.copyOf(probes.values())) {
            if (probe.nextMs <= nowMs && probes.get(probe.number) == probe) {
                answerOverdue(nowMs, probe);
            }
        }
    }

    private void answerOverdue(double nowMs, Probe probe) {
        double timeoutMs = probe.startedMs + settings.probeTimeoutMs() * health.intervalFactor() * health.lossFactor();
        if (probe.purpose == Purpose.REJOIN || nowMs >= timeoutMs) {
            probes.remove(probe.number);
            probeFailed(nowMs, probe);
            return;
        }
        // Confirming members act as helpers themselves, and helpers cannot bypass a partition.
        boolean useHelpers = probe.purpose == Purpose.ROUND || probe.purpose == Purpose.BEFORE_DEATH;
        if (probe.pings == 1 && !suspicions.isPartitionLikely() && useHelpers) {
            sendPingRequests(nowMs, probe);
        }
        ping(nowMs, probe);
        probe.nextMs = Math.min(probe.nextMs, timeoutMs);
    }

    private void sendPingRequests(double nowMs, Probe probe) {
        selector.sample(settings.helpers(), id -> id != probe.target && !suspicions.contains(id))
                .forEach(helper -> transmitter.send(
                        nowMs, Kind.PING_REQUEST, helper, probe.number, probe.target, Urgency.MEMBERSHIP_CHANGE));
    }

    /** A peer requests that this instance probes a member for it. */
    void pingRequested(double nowMs, MembershipMessage message, int requester) {
        int target = message.target();
        if (target != fleet.self() && fleet.get(target) != null) {
            startProbe(nowMs, new Probe(nextNumber(), target, Purpose.FOR_PEER, requester, message.number(), nowMs));
        }
    }

    /** A member has answered a ping, or a helper reports that one has. */
    void ackReceived(double nowMs, MembershipMessage message, int sender) {
        Probe probe = probes.get(message.number());
        boolean direct = message.target() == MembershipMessage.NO_MEMBER;
        if (probe == null && direct && Integer.valueOf(sender).equals(failedProbes.remove(message.number()))) {
            health.answeredLate();
        }
        if (probe == null || probe.target != (direct ? sender : message.target())) {
            return;
        }
        probes.remove(probe.number);
        health.probeAnswered(probe.pings);
        if (probe.purpose == Purpose.FOR_PEER) {
            transmitter.send(nowMs, Kind.ACK, probe.requester, probe.requesterNumber, probe.target, Urgency.RESPONSE);
        }
        Suspicion suspicion = suspicions.get(probe.target);
        if (suspicion != null) {
            // The member knows of the suspicion by now and refutes it itself.
            suspicion.ownProbeFailedMs = Double.NEGATIVE_INFINITY;
        }
    }

    private void probeFailed(double nowMs, Probe probe) {
        Member target = fleet.get(probe.target);
        if (probe.purpose == Purpose.REJOIN
                || probe.purpose == Purpose.FOR_PEER
                || target == null
                || !target.state().isLive()) {
            return;
        }
        failedProbes.put(probe.number, probe.target);
        if (probe.purpose == Purpose.BEFORE_DEATH) {
            if (suspicions.contains(probe.target)) {
                apply(nowMs, target.withState(MemberState.DEAD));
            }
            return;
        }
        suspect(nowMs, target);
        if (probe.purpose == Purpose.ROUND) {
            // If one instance has failed, others may have failed too: its neighbors on the ring are probed immediately.
            for (int i = 0; i < NEIGHBOR_PROBES; i++) {
                probeNextOnRing(nowMs);
            }
        }
        boolean first = target.state() == MemberState.ALIVE;
        notifyConfirmers(nowMs, target, first);
    }

    private void suspect(double nowMs, Member target) {
        apply(nowMs, target.suspectedBy(fleet.self()));
        Suspicion suspicion = suspicions.get(target.id());
        if (suspicion != null) {
            suspicion.ownProbeFailedMs = nowMs;
        }
    }

    /** Informs the members that have to confirm a new suspicion, or those that have confirmed an older one. */
    private void notifyConfirmers(double nowMs, Member target, boolean newSuspicion) {
        Collection<Integer> confirmers = newSuspicion
                ? suspicions.confirmersOf(nowMs, target)
                : fleet.get(target.id()).confirmers();
        confirmers.stream()
                .filter(id -> id != fleet.self() && id != target.id())
                .forEach(id -> transmitter.sendGossip(nowMs, id, Urgency.MEMBERSHIP_CHANGE));
    }

    // ---- suspicions

    /** Confirms and ends the suspicions that are due. */
    void tickSuspicions(double nowMs) {
        for (int id : suspicions.ids()) {
            Suspicion suspicion = suspicions.get(id);
            if (suspicion == null) {
                continue;
            }
            if (suspicion.confirmAtMs <= nowMs) {
                suspicion.confirmAtMs = nowMs + CONFIRM_INTERVAL_MS;
                if (!hasEvidence(nowMs, suspicion) && isConfirmer(nowMs, id)) {
                    probe(nowMs, id, Purpose.CONFIRM_SUSPICION);
                }
            }
            if (endMs(id, suspicion) <= nowMs) {
                endSuspicion(nowMs, id, suspicion);
            }
        }
    }

    private boolean hasEvidence(double nowMs, Suspicion suspicion) {
        return nowMs - suspicion.ownProbeFailedMs <= EVIDENCE_MS * health.lossFactor();
    }

    private boolean isConfirmer(double nowMs, int suspect) {
        return suspicions.confirmersOf(nowMs, fleet.get(suspect)).contains(fleet.self());
    }

    private double endMs(int id, Suspicion suspicion) {
        Member member = fleet.get(id);
        double endMs = suspicion.endMs(settings, member.confirmers().size(), suspicions.requiredConfirmations());
        double slowedEndMs =
                suspicion.startedMs + (endMs - suspicion.startedMs) * health.intervalFactor() * health.lossFactor();
        boolean involved = member.confirmers().contains(fleet.self()) || suspicion.hasOwnFailure();
        double lastProbeMs = probes.values().stream()
                .filter(p -> p.target == id && p.purpose == Purpose.BEFORE_DEATH)
                .mapToDouble(p -> p.nextMs)
                .findFirst()
                .orElse(Double.NEGATIVE_INFINITY);
        return Math.max(lastProbeMs, slowedEndMs + (involved ? 0 : NON_CONFIRMER_WAIT_MS));
    }

    /** Declares a member dead if this instance has evidence of its own; otherwise probes it one last time. */
    private void endSuspicion(double nowMs, int id, Suspicion suspicion) {
        if (hasEvidence(nowMs, suspicion)) {
            apply(nowMs, fleet.get(id).withState(MemberState.DEAD));
        } else if (!isProbing(id, Purpose.BEFORE_DEATH)) {
            suspicion.ownProbeFailedMs = Double.NEGATIVE_INFINITY;
            probe(nowMs, id, Purpose.BEFORE_DEATH);
            if (!isProbing(id, Purpose.BEFORE_DEATH)) {
                suspicion.startedMs = nowMs; // the budget or the probe limit did not permit the probe; try again later
            }
        }
    }

    /** Returns when the next probe or suspicion is due; infinite if there is none. */
    double dueMs() {
        double dueMs = Double.POSITIVE_INFINITY;
        for (Probe probe : probes.values()) {
            dueMs = Math.min(dueMs, probe.nextMs);
        }
        for (int id : suspicions.ids()) {
            Suspicion suspicion = suspicions.get(id);
            dueMs = Math.min(dueMs, Math.min(endMs(id, suspicion), suspicion.confirmAtMs));
        }
        return dueMs;
    }
}
