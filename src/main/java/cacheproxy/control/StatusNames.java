package cacheproxy.control;

import cacheproxy.failover.ZoneHealth;
import cacheproxy.failover.ZoneState;
import cacheproxy.membership.MemberState;
import cacheproxy.membership.Reachability;
import cacheproxy.membership.ServicePhase;

/** The names of other packages' states in answers to operators; scripts depend on them. */
final class StatusNames {
    private StatusNames() {}

    static String of(Reachability reachability) {
        return switch (reachability) {
            case ALONE -> "alone";
            case MINORITY -> "minority";
            case MAJORITY -> "majority";
            case ALL -> "all";
        };
    }

    static String of(MemberState state) {
        return switch (state) {
            case ALIVE -> "alive";
            case SUSPECT -> "suspect";
            case DEAD -> "dead";
            case LEFT -> "left";
        };
    }

    static String of(ServicePhase phase) {
        return switch (phase) {
            case STARTING -> "starting";
            case RECOVERING -> "recovering";
            case SERVING -> "serving";
            case DRAINING -> "draining";
        };
    }

    static String of(ZoneState.Cause cause) {
        return switch (cause) {
            case EVIDENCE -> "evidence";
            case RETURN -> "return";
            case HOLD -> "hold";
            case LEAVE -> "leave";
        };
    }

    static String of(ZoneHealth health) {
        return switch (health) {
            case UNKNOWN -> "none";
            case HEALTHY -> "good";
            case DEGRADED -> "poor";
            case UNREACHABLE -> "lost";
        };
    }
}
