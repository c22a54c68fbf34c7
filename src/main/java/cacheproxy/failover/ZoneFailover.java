package cacheproxy.failover;

import cacheproxy.failover.ZoneFaultDetector.ZoneCondition;
import cacheproxy.failover.ZoneState.Cause;
import cacheproxy.membership.Member;
import cacheproxy.membership.MembershipView;
import cacheproxy.routing.ZoneDirective;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One instance's part in leaving faulty zones and returning to them. Its inputs are the outcomes of its own attempts,
 * the endpoint list and the fleet's view; its outputs are directives for the load balancer and metadata for the view.
 * Its owner calls {@link #tick} at least every {@link #TICK_MS}. Times in milliseconds of one clock; not thread-safe.
 *
 * <p>All instances judge by the same reports and would make the same decision ({@link ZoneDecision}). They act in the
 * order of their rank ({@link InstanceRanking}): the first one raises the epoch, and the others adopt its decision.
 * Without a quorum, decisions on evidence do not apply and each instance relies on its own observations.
 */
public final class ZoneFailover {
    /** The longest time between two ticks. */
    public static final double TICK_MS = 100;
    /** The key of the member metadata that holds the plan. */
    public static final int PLAN_METADATA = 0;
    /** The key of the member metadata that holds the zones' health. */
    public static final int HEALTH_METADATA = 1;
    /** The longest duration over which an operator may have a zone left. */
    public static final double MAX_LEAVE_DURATION_MS = 75_000;
    /** The delay by which each rank decides later than the one before, whose decision should have arrived by then. */
    private static final double RANK_DELAY_MS = 80;

    private static final int DELAYED_RANKS = 8;
    /**
     * The delay of all instances ranked after the first {@link #DELAYED_RANKS}. Each decision is gossiped to the whole
     * fleet. If the first decision takes longer than these delays to spread, as it does under a high gossip load, a
     * hundred further decisions would slow it down even more.
     */
    private static final double LAST_RANKS_DELAY_MS = 2500;
    /** The time between two probes of a zone by one instance. */
    private static final double PROBE_INTERVAL_MS = 800;
    /**
     * The number of instances that publish others' decisions in their own entries; if all did, each step would change
     * every instance's entry.
     */
    private static final int PLAN_PUBLISHERS = 5;

    private static final String OPERATOR_ORDER = "an operator's order here";

    private record DecodedEntry(Member entry, ZoneHealthReport report) {}

    private final ZoneFailoverSettings settings;
    private final ZoneHealthMonitor monitor;
    private final ZoneHealthPublisher publisher = new ZoneHealthPublisher();
    /** The decoded reports of the other instances' entries, by instance. */
    private final Map<Integer, DecodedEntry> decodedEntries = new HashMap<>();

    private final List<ZoneTracker> trackers = new ArrayList<>();
    private final FailoverPlanState planState;
    private boolean quorum;
    private boolean everHadQuorum;

    /** Begins without a decision. */
    public ZoneFailover(ZoneFailoverSettings settings) {
        this.settings = settings;
        monitor = new ZoneHealthMonitor(settings.decidedZoneCount());
        for (int z = 0; z < settings.decidedZoneCount(); z++) {
            trackers.add(new ZoneTracker());
        }
        planState = new FailoverPlanState(trackers);
    }

    // ---- observations

    /** A cache node of a zone has answered an attempt; {@code hit}: whether it had the requested value. */
    public void onResponse(double nowMs, int zone, boolean hit) {
        if (zone < trackers.size()) {
            monitor.onResponse(nowMs, zone, hit);
            // Allows the next probe at once, as a healthy zone takes two responses.
            trackers.get(zone).probedMs = Double.NEGATIVE_INFINITY;
        }
    }

    /** An attempt at a cache node of a zone is overdue, was not answered, or ended with a closed connection. */
    public void onNoResponse(double nowMs, int zone, int endpointId) {
        if (zone < trackers.size()) {
            monitor.onNoResponse(nowMs, zone, endpointId);
        }
    }

    /** A fetch from the origin has ended, in time or not. */
    public void onOriginFetch(double nowMs, boolean inTime) {
        monitor.onOriginFetch(nowMs, inTime);
    }

    /**
     * Updates a zone from the endpoint list.
     *
     * @param readyNodes the number of its cache nodes that may receive requests
     * @param coldUntilMs when at least half of them will have warmed up; any time in the past if they have
     */
    public void onEndpoints(int zone, int readyNodes, double coldUntilMs) {
        if (zone < trackers.size()) {
            trackers.get(zone).readyNodes = readyNodes;
            trackers.get(zone).coldUntilMs = coldUntilMs;
            monitor.setReadyNodes(zone, readyNodes);
        }
    }

    // ---- stored states

    /**
     * Resumes from what this instance stored when it last ran. Restored states merge like those of any other instance,
     * so later decisions override them. Of states that are too old only the epochs count, as a lower bound for the
     * epochs of later decisions.
     *
     * @param stored by zone; other zones are left unchanged
     * @param stillHold whether the states may still be valid, by their age
     */
    public void restore(double nowMs, Map<Integer, StoredZoneState> stored, boolean stillHold) {
        planState.restore(nowMs, stored, stillHold);
    }

    /** The states to store, of each zone on which any decision was ever made. */
    public Map<Integer, StoredZoneState> statesToStore() {
        return planState.statesToStore();
    }

    // ---- operators

    /**
     * Leaves a zone on an operator's order, until the operator returns to it or releases it.
     *
     * @param durationMs the duration over which it is left, 0 to {@link #MAX_LEAVE_DURATION_MS}; 0 leaves it at once
     * @throws IllegalArgumentException if the duration is out of range, or too little would stay open
     */
    public void leaveZone(double nowMs, int zone, double durationMs) {
        requireDecidedZone(zone);
        if (!(durationMs >= 0 && durationMs <= MAX_LEAVE_DURATION_MS)) {
            throw new IllegalArgumentException(
                    "a zone is left over 0 to " + Math.round(MAX_LEAVE_DURATION_MS / 1000) + " s");
        }
        if (!plan().allowsTrafficParts(zone, 0)) {
            throw new IllegalArgumentException(
                    "without this zone less than a third of all would be open; return to another first");
        }
        ZoneState state = plan().stateOf(zone);
        int openParts = durationMs == 0 ? 0 : state.trafficParts();
        trackers.get(zone).leaveStepMs = durationMs / Math.max(1, state.trafficParts());
        planState.decide(nowMs, zone, state.next(openParts, Cause.LEAVE, state.leaveCount()), OPERATOR_ORDER);
    }

    /** Opens a zone step by step on an operator's order, whatever its health, and resets its leave count. */
    public void returnToZone(double nowMs, int zone) {
        order(nowMs, zone, Cause.RETURN, 0);
    }

    /** Keeps a zone in its present state on an operator's order, whatever its health, until it is released. */
    public void holdZone(double nowMs, int zone) {
        requireDecidedZone(zone);
        order(nowMs, zone, Cause.HOLD, plan().stateOf(zone).leaveCount());
    }

    /** Revokes operators' orders on a zone: its health decides again. */
    public void releaseZone(double nowMs, int zone) {
        requireDecidedZone(zone);
        order(nowMs, zone, Cause.EVIDENCE, plan().stateOf(zone).leaveCount());
    }

    private void order(double nowMs, int zone, Cause cause, int leaveCount) {
        requireDecidedZone(zone);
        ZoneState state = plan().stateOf(zone);
        planState.decide(nowMs, zone, state.next(state.trafficParts(), cause, leaveCount), OPERATOR_ORDER);
    }

    private void requireDecidedZone(int zone) {
        if (zone < 0 || zone >= trackers.size()) {
            throw new IllegalArgumentException("zone " + zone + " takes no part; the first " + trackers.size() + " do");
        }
    }

    /** The expected cost of leaving a zone. */
    public ZoneLeaveCost leaveCost(double nowMs, int zone) {
        requireDecidedZone(zone);
        double all = 0;
        for (int z = 0; z < trackers.size(); z++) {
            all += capacity(z);
        }
        double zoneCapacity = capacity(zone);
        return new ZoneLeaveCost(
                monitor.attemptsPerSecond(nowMs, zone),
                all > zoneCapacity ? all / (all - zoneCapacity) : Double.POSITIVE_INFINITY,
                plan().allowsTrafficParts(zone, 0));
    }

    private double capacity(int zone) {
        return trackers.get(zone).readyNodes * (double) plan().trafficParts(zone);
    }

    // ---- decisions

    /** Processes the fleet's view, makes the decisions that are due, and returns the directives that have changed. */
    public List<ZoneDirective> tick(double nowMs, MembershipView view) {
        List<ZoneHealthReport> reports = new ArrayList<>();
        Set<Integer> homeZones = new HashSet<>();
        takeReports(nowMs, view, reports, homeZones);
        ZoneHealthReport own = ownReport(nowMs);
        reports.add(own);
        homeZones.add(settings.homeZone());
        ZoneFaultDetector detector = new ZoneFaultDetector(reports, homeZones);
        boolean hadQuorum = quorum;
        quorum = detector.hasQuorum() && knowsMostMembers(view);
        for (int z = 0; z < trackers.size(); z++) {
            decideIfDue(nowMs, z, detector, reports);
        }
        if (InstanceRanking.rank(0, settings.instanceId(), reports) < PLAN_PUBLISHERS) {
            planState.publishAll();
        }
        publisher.update(nowMs, own, reports, plan(), trackers);
        boolean quorumRegained = quorum && !hadQuorum && everHadQuorum;
        everHadQuorum |= quorum;
        return directives(nowMs, reports, quorumRegained);
    }

    /** Adopts the plans of all other instances, and collects the reports of the live ones. */
    private void takeReports(
            double nowMs, MembershipView view, List<ZoneHealthReport> reports, Set<Integer> homeZones) {
        if (decodedEntries.size() > 2 * view.members().size()) {
            decodedEntries.clear(); // most of them belong to instances that have left
        }
        for (Member entry : view.members()) {
            homeZones.add(entry.zone());
            if (entry.id() == settings.instanceId()) {
                continue;
            }
            ZoneHealthReport report = decoded(entry);
            planState.adopt(nowMs, report);
            if (entry.state().isLive()) {
                reports.add(report);
            }
        }
    }

    /** Decodes an entry only if it has changed. */
    @SuppressWarnings("ReferenceEquality") // immutable: the same object has the same content
    private ZoneHealthReport decoded(Member entry) {
        DecodedEntry known = decodedEntries.get(entry.id());
        if (known == null || known.entry() != entry) {
            byte[] health = entry.metadata(HEALTH_METADATA);
            byte[] planMetadata = entry.metadata(PLAN_METADATA);
            known = new DecodedEntry(
                    entry, ZoneHealthReport.decode(entry.id(), entry.zone(), health, planMetadata, trackers.size()));
            decodedEntries.put(entry.id(), known);
        }
        return known.report();
    }

    private ZoneHealthReport ownReport(double nowMs) {
        List<ZoneHealth> health = new ArrayList<>();
        Set<Integer> coldZones = new HashSet<>();
        for (int z = 0; z < trackers.size(); z++) {
            health.add(monitor.health(nowMs, z));
            if (monitor.isCold(nowMs, z)) {
                coldZones.add(z);
            }
        }
        boolean originSaturated = monitor.isOriginSaturated(nowMs);
        return new ZoneHealthReport(
                settings.instanceId(), settings.homeZone(), health, coldZones, originSaturated, plan());
    }

    /**
     * Whether this instance knows more than half of the configured members. One that has just started knows too few to
     * judge the state of the fleet.
     */
    private static boolean knowsMostMembers(MembershipView view) {
        return view.configuredMembers() == null
                || 2 * view.members().size() > view.configuredMembers().count();
    }

    private void decideIfDue(double nowMs, int zone, ZoneFaultDetector detector, List<ZoneHealthReport> reports) {
        ZoneTracker tracker = trackers.get(zone);
        ZoneCondition verdict = detector.verdict(zone);
        tracker.onVerdict(nowMs, verdict);
        ZoneDecision decision = new ZoneDecision(nowMs, zone, plan(), tracker, detector, settings.warmUpMs());
        ZoneState proposal = decision.next(quorum);
        tracker.onProposal(nowMs, proposal);
        if (proposal == null) {
            return;
        }
        int rank = InstanceRanking.rank(zone, settings.instanceId(), reports);
        if (nowMs - tracker.proposedMs >= (rank < DELAYED_RANKS ? rank * RANK_DELAY_MS : LAST_RANKS_DELAY_MS)) {
            String reason = plan().stateOf(zone).cause() == Cause.EVIDENCE
                    ? "found " + verdict.displayName() + " by " + reports.size() + " instances"
                    : "going on with an operator's order";
            planState.decide(nowMs, zone, proposal, reason);
        }
    }

    private List<ZoneDirective> directives(double nowMs, List<ZoneHealthReport> reports, boolean quorumRegained) {
        List<ZoneDirective> directives = new ArrayList<>();
        for (int z = 0; z < trackers.size(); z++) {
            ZoneTracker tracker = trackers.get(z);
            int openParts = effectiveParts(z);
            boolean probes = openParts < ZoneState.ALL_PARTS
                    && quorum
                    && plan().stateOf(z).cause() == Cause.EVIDENCE
                    && nowMs - tracker.probedMs >= PROBE_INTERVAL_MS
                    && InstanceRanking.isProber(z, settings.instanceId(), reports);
            boolean resetHealth = openParts > 0 && (tracker.directedParts == 0 || quorumRegained);
            if (probes) {
                tracker.probedMs = nowMs;
            }
            if (openParts != tracker.directedParts || probes || resetHealth) {
                tracker.directedParts = openParts;
                directives.add(new ZoneDirective(z, trafficFraction(openParts), probes, resetHealth));
            }
        }
        return directives;
    }

    private static double trafficFraction(int openParts) {
        return (double) openParts / ZoneState.ALL_PARTS;
    }

    /** The parts that are open. Decisions on evidence apply only with a quorum, which could also revoke them. */
    private int effectiveParts(int zone) {
        return quorum || plan().stateOf(zone).cause() != Cause.EVIDENCE
                ? plan().trafficParts(zone)
                : ZoneState.ALL_PARTS;
    }

    // ---- results

    /** The plan as this instance publishes it, for the key {@link #PLAN_METADATA}. */
    public byte[] planMetadata() {
        return planState.publishedPlan().encode();
    }

    /** The zones' health as this instance publishes it, for the key {@link #HEALTH_METADATA}. */
    public byte[] healthMetadata() {
        return publisher.metadata();
    }

    /** The transitions since the last call, at most the first 64. */
    public List<ZoneTransition> takeTransitions() {
        return planState.takeTransitions();
    }

    /** The decisions on all zones. */
    public FailoverPlan plan() {
        return planState.plan();
    }

    /** Whether this instance hears enough of the fleet to decide for it. */
    public boolean hasQuorum() {
        return quorum;
    }

    /** The number of decisions that this instance was the first to make. */
    public long decisionCount() {
        return planState.decisionCount();
    }

    /** The status of each zone. */
    public List<ZoneStatus> status(double nowMs) {
        List<ZoneStatus> status = new ArrayList<>();
        for (int z = 0; z < trackers.size(); z++) {
            ZoneTracker tracker = trackers.get(z);
            status.add(new ZoneStatus(
                    z,
                    trafficFraction(effectiveParts(z)),
                    plan().stateOf(z),
                    monitor.health(nowMs, z),
                    tracker.verdict.displayName(),
                    nowMs - tracker.changedMs,
                    tracker.changeReason));
        }
        return status;
    }
}
