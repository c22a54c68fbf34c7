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
 * One instance's part in leaving faulty zones and returning to them. Takes what its attempts met, the endpoint list and
 * the fleet's view; gives directives for the load balancer and notes for the view. Its owner calls {@link #tick} at
 * least each {@link #TICK_MS}. Times in milliseconds of one clock; not thread-safe.
 *
 * <p>All instances judge by the same reports and would decide the same ({@link ZoneDecision}). They take turns
 * ({@link InstanceRanking}): the first raises the epoch, the others adopt its decision. Without a quorum what was
 * decided on evidence does not hold, and each instance keeps to its own evidence.
 */
public final class ZoneFailover {
    /** The longest time between two ticks. */
    public static final double TICK_MS = 100;
    /** The number of the view's note that holds the plan. */
    public static final int PLAN_METADATA = 0;
    /** The number of the view's note that holds the zones' health. */
    public static final int HEALTH_METADATA = 1;
    /** The longest time over which an operator may have a zone left. */
    public static final double MAX_LEAVE_DURATION_MS = 75_000;
    /** The next in rank decides so much later: the decision of the one before should have come by then. */
    private static final double TURN_MS = 80;

    private static final int TURNS = 8;
    /**
     * All others decide only so late. Each decision is news for all: where the first takes longer than the turns to get
     * around, as it does when there is much news, a hundred more would make it take longer still.
     */
    private static final double OTHERS_TURN_MS = 2500;
    /** Between two probes of a zone by one instance. */
    private static final double PROBE_INTERVAL_MS = 800;
    /** So many publish others' decisions in their own entries: if all did, each step would be news of all. */
    private static final int PLAN_CARRIERS = 5;

    private static final String OPERATOR_ORDER = "an operator's order here";

    private record DecodedEntry(Member entry, ZoneHealthReport report) {}

    private final ZoneFailoverSettings settings;
    private final ZoneHealthMonitor monitor;
    private final ZoneHealthPublisher publisher = new ZoneHealthPublisher();
    /** The reports in others' entries, by instance. */
    private final Map<Integer, DecodedEntry> decodedEntries = new HashMap<>();

    private final List<ZoneTracker> trackers = new ArrayList<>();
    private final FailoverPlanState planState;
    private boolean quorum;
    private boolean everHadQuorum;

    /** Without a decision yet. */
    public ZoneFailover(ZoneFailoverSettings settings) {
        this.settings = settings;
        monitor = new ZoneHealthMonitor(settings.decidedZoneCount());
        for (int z = 0; z < settings.decidedZoneCount(); z++) {
            trackers.add(new ZoneTracker());
        }
        planState = new FailoverPlanState(trackers);
    }

    // ---- evidence

    /** A cache node of a zone has answered an attempt; {@code hit}: it had what was requested. */
    public void onResponse(double nowMs, int zone, boolean hit) {
        if (zone < trackers.size()) {
            monitor.onResponse(nowMs, zone, hit);
            trackers.get(zone).probedMs = Double.NEGATIVE_INFINITY; // the next probe follows at once: two are needed
        }
    }

    /** A cache node of a zone is overdue, did not answer or closed the connection instead. */
    public void onNoResponse(double nowMs, int zone, int endpointId) {
        if (zone < trackers.size()) {
            monitor.onNoResponse(nowMs, zone, endpointId);
        }
    }

    /** A fetch at the origin has ended, in time or not. */
    public void onOriginFetch(double nowMs, boolean inTime) {
        monitor.onOriginFetch(nowMs, inTime);
    }

    /**
     * What the endpoint list says of a zone.
     *
     * @param readyNodes its cache nodes that may be sent requests
     * @param coldUntilMs when half of them or more will have warmed up; any time in the past if they have
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
     * Goes on where this instance ended when it last ran. Its states count like any other instance's, so a later
     * decision goes before them; of those that are too old only the epochs count, as the least that a decision goes
     * beyond.
     *
     * @param stored by zone; other zones are left alone
     * @param stillHold whether the states may still hold, by their age
     */
    public void restore(double nowMs, Map<Integer, StoredZoneState> stored, boolean stillHold) {
        planState.restore(nowMs, stored, stillHold);
    }

    /** What to store of each zone of which anything was ever decided. */
    public Map<Integer, StoredZoneState> statesToStore() {
        return planState.statesToStore();
    }

    // ---- operators

    /**
     * Leaves a zone on an operator's order, until it is returned to or released.
     *
     * @param durationMs over which it is left, 0 to {@link #MAX_LEAVE_DURATION_MS}; 0 for at once
     * @throws IllegalArgumentException if the time is out of range, or too little would stay open
     */
    public void leaveZone(double nowMs, int zone, double durationMs) {
        check(zone);
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

    /** Opens a zone step by step on an operator's order, whatever its health, and forgets that it was left. */
    public void returnToZone(double nowMs, int zone) {
        order(nowMs, zone, Cause.RETURN, 0);
    }

    /** Keeps a zone as it is on an operator's order, whatever its health, until it is released. */
    public void holdZone(double nowMs, int zone) {
        check(zone);
        order(nowMs, zone, Cause.HOLD, plan().stateOf(zone).leaveCount());
    }

    /** Takes operators' orders back: the zone's health decides again. */
    public void releaseZone(double nowMs, int zone) {
        check(zone);
        order(nowMs, zone, Cause.EVIDENCE, plan().stateOf(zone).leaveCount());
    }

    private void order(double nowMs, int zone, Cause cause, int leaveCount) {
        check(zone);
        ZoneState state = plan().stateOf(zone);
        planState.decide(nowMs, zone, state.next(state.trafficParts(), cause, leaveCount), OPERATOR_ORDER);
    }

    private void check(int zone) {
        if (zone < 0 || zone >= trackers.size()) {
            throw new IllegalArgumentException("zone " + zone + " takes no part; the first " + trackers.size() + " do");
        }
    }

    /** What leaving a zone would cost. */
    public ZoneLeaveCost leaveCost(double nowMs, int zone) {
        check(zone);
        double all = 0;
        for (int z = 0; z < trackers.size(); z++) {
            all += capacity(z);
        }
        double its = capacity(zone);
        return new ZoneLeaveCost(
                monitor.attemptsPerSecond(nowMs, zone),
                all > its ? all / (all - its) : Double.POSITIVE_INFINITY,
                plan().allowsTrafficParts(zone, 0));
    }

    private double capacity(int zone) {
        return trackers.get(zone).readyNodes * (double) plan().trafficParts(zone);
    }

    // ---- time

    /** Takes the fleet's view, decides what is due, and returns what has changed for the load balancer. */
    public List<ZoneDirective> tick(double nowMs, MembershipView view) {
        List<ZoneHealthReport> reports = new ArrayList<>();
        Set<Integer> homeZones = new HashSet<>();
        takeReports(nowMs, view, reports, homeZones);
        ZoneHealthReport own = ownReport(nowMs);
        reports.add(own);
        homeZones.add(settings.homeZone());
        ZoneFaultDetector detector = new ZoneFaultDetector(reports, homeZones);
        boolean hadQuorum = quorum;
        quorum = detector.hasQuorum() && hasMetMost(view);
        for (int z = 0; z < trackers.size(); z++) {
            decideIfDue(nowMs, z, detector, reports);
        }
        if (InstanceRanking.rank(0, settings.instanceId(), reports) < PLAN_CARRIERS) {
            planState.publishAll();
        }
        publisher.update(nowMs, own, reports, plan(), trackers);
        boolean quorumRegained = quorum && !hadQuorum && everHadQuorum;
        everHadQuorum |= quorum;
        return directives(nowMs, reports, quorumRegained);
    }

    /** Adopts the plans of all others, and adds the reports of those that live. */
    private void takeReports(
            double nowMs, MembershipView view, List<ZoneHealthReport> reports, Set<Integer> homeZones) {
        if (decodedEntries.size() > 2 * view.members().size()) {
            decodedEntries.clear(); // most of them are of instances that are gone
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

    /** Decodes an entry anew only where it has changed. */
    @SuppressWarnings("ReferenceEquality") // immutable: the same entry says the same
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

    /** An instance that has just started has met too few to know how the fleet stands. */
    private static boolean hasMetMost(MembershipView view) {
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
        if (nowMs - tracker.proposedMs >= (rank < TURNS ? rank * TURN_MS : OTHERS_TURN_MS)) {
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

    /** What was decided on evidence holds only with a quorum, which could take it back. */
    private int effectiveParts(int zone) {
        return quorum || plan().stateOf(zone).cause() != Cause.EVIDENCE
                ? plan().trafficParts(zone)
                : ZoneState.ALL_PARTS;
    }

    // ---- what is decided

    /** The plan as far as this instance is to publish it, for the note {@link #PLAN_METADATA}. */
    public byte[] planMetadata() {
        return planState.publishedPlan().encode();
    }

    /** The zones' health as far as this instance is to publish it, for the note {@link #HEALTH_METADATA}. */
    public byte[] healthMetadata() {
        return publisher.note();
    }

    /** The transitions since the last call, the first 64 of them. */
    public List<ZoneTransition> takeTransitions() {
        return planState.takeTransitions();
    }

    /** What is decided of all zones. */
    public FailoverPlan plan() {
        return planState.plan();
    }

    /** Whether enough of the fleet is heard to decide for it. */
    public boolean hasQuorum() {
        return quorum;
    }

    /** Decisions that this instance was the first to make. */
    public long decisionCount() {
        return planState.decisionCount();
    }

    /** How each zone stands. */
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
