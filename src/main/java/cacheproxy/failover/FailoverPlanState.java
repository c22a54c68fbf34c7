package cacheproxy.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The plan held by one instance: it changes by the instance's own decisions, by other instances' plans and by stored
 * states. Also determines which part of the plan the instance publishes. Mutable; owned by {@link ZoneFailover}. Times
 * in milliseconds.
 */
final class FailoverPlanState {
    private static final int MAX_TRANSITIONS = 64;

    private final List<ZoneTracker> trackers;
    private final List<ZoneTransition> transitions = new ArrayList<>();
    private FailoverPlan plan;
    /** The plan as published: at least the decisions that this instance has made itself. */
    private FailoverPlan publishedPlan;

    private long decisionCount;

    /** Begins without a decision. {@code trackers}: by zone; notified of each change. */
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

    /** Publishes the whole plan, including other instances' decisions. */
    void publishAll() {
        publishedPlan = plan;
    }

    /** The number of decisions that this instance was the first to make. */
    long decisionCount() {
        return decisionCount;
    }

    /** Makes a decision on a zone; does nothing if it equals the present state. */
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

    /** Adopts what is newer in another instance's plan. */
    @SuppressWarnings("ReferenceEquality") // a join returns the same plan if nothing is new
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

    /** Adopts stored states, as described at {@link ZoneFailover#restore}. */
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

    /** The states to store, of each zone on which any decision was ever made. */
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

    /** The transitions since the last call, at most the first {@value #MAX_TRANSITIONS}. */
    List<ZoneTransition> takeTransitions() {
        List<ZoneTransition> taken = List.copyOf(transitions);
        transitions.clear();
        return taken;
    }
}
