package cacheproxy.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The plan that an instance holds: its changes by own decisions, by other instances' plans and from the store, and what
 * the instance publishes of it. Mutable; owned by {@link ZoneFailover}. Times in milliseconds.
 */
final class FailoverPlanState {
    private static final int MAX_TRANSITIONS = 64;

    private final List<ZoneTracker> trackers;
    private final List<ZoneTransition> transitions = new ArrayList<>();
    private FailoverPlan plan;
    /** What this instance publishes: at least what it has decided itself. */
    private FailoverPlan publishedPlan;

    private long decisionCount;

    /** Nothing is decided. {@code trackers}: by zone; told of each change. */
    FailoverPlanState(List<ZoneTracker> trackers) {
        this.trackers = trackers;
        plan = FailoverPlan.initial(trackers.size());
        publishedPlan = plan;
    }

    FailoverPlan plan() {
        return plan;
    }

    FailoverPlan publishedPlan() {
        return publishedPlan;
    }

    /** Publishes the plan as it stands, others' decisions included. */
    void publishAll() {
        publishedPlan = plan;
    }

    /** Decisions that this instance was the first to make. */
    long decisionCount() {
        return decisionCount;
    }

    /** Decides a zone's next state; nothing if it is the present one. */
    void decide(double nowMs, int zone, ZoneState decision, String reason) {
        ZoneState before = plan.stateOf(zone);
        if (decision.equals(before)) {
            return;
        }
        ZoneState next = decision.withEpochAbove(trackers.get(zone).minEpoch);
        decisionCount++;
        plan = plan.with(zone, next);
        publishedPlan = plan;
        transition(nowMs, zone, before, next, reason);
    }

    /** Takes what is newer in another instance's plan. */
    @SuppressWarnings("ReferenceEquality") // a join gives back the same plan where nothing is new
    void adopt(double nowMs, ZoneHealthReport report) {
        FailoverPlan joined = plan.join(report.plan());
        if (joined == plan) {
            return;
        }
        for (int z = 0; z < trackers.size(); z++) {
            if (!joined.stateOf(z).equals(plan.stateOf(z))) {
                String reason = "heard from instance " + report.instance();
                transition(nowMs, z, plan.stateOf(z), joined.stateOf(z), reason);
            }
        }
        plan = joined;
    }

    /** Takes stored states, as {@link ZoneFailover#restore} says. */
    void restore(double nowMs, Map<Integer, StoredZoneState> stored, boolean stillHold) {
        stored.forEach((zone, last) -> {
            if (zone >= 0 && zone < trackers.size()) {
                ZoneTracker tracker = trackers.get(zone);
                tracker.minEpoch = Math.max(tracker.minEpoch, last.minEpoch());
                if (stillHold && last.state().compareTo(plan.stateOf(zone)) > 0) {
                    transition(nowMs, zone, plan.stateOf(zone), last.state(), "held in this instance's last life");
                    plan = plan.with(zone, last.state());
                    publishedPlan = publishedPlan.with(zone, last.state());
                }
            }
        });
    }

    /** What to store of each zone of which anything was ever decided. */
    Map<Integer, StoredZoneState> statesToStore() {
        Map<Integer, StoredZoneState> states = new TreeMap<>();
        for (int z = 0; z < trackers.size(); z++) {
            int minEpoch = Math.max(trackers.get(z).minEpoch, plan.stateOf(z).epoch());
            if (minEpoch > 0) {
                states.put(z, new StoredZoneState(plan.stateOf(z), minEpoch));
            }
        }
        return states;
    }

    private void transition(double nowMs, int zone, ZoneState before, ZoneState after, String reason) {
        trackers.get(zone).onChange(nowMs, before, after, reason);
        if (transitions.size() < MAX_TRANSITIONS) {
            transitions.add(new ZoneTransition(zone, before, after, reason));
        }
    }

    /** The transitions since the last call, the first {@value #MAX_TRANSITIONS} of them. */
    List<ZoneTransition> takeTransitions() {
        List<ZoneTransition> taken = List.copyOf(transitions);
        transitions.clear();
        return taken;
    }
}
