package cacheproxy.control;

import cacheproxy.failover.ZoneHealth;
import cacheproxy.failover.ZoneState;
import cacheproxy.membership.Hearing;
import cacheproxy.membership.Phase;
import cacheproxy.membership.State;

/** The words by which answers to operators name the states of other packages; scripts depend on them. */
final class AnswerWords {
    private AnswerWords() {}

    static String of(Hearing reachability) {
        return switch (reachability) {
            case ALONE -> "alone";
            case MINORITY -> "minority";
            case MAJORITY -> "majority";
            case ALL -> "all";
        };
    }

    static String of(State state) {
        return switch (state) {
            case ALIVE -> "alive";
            case SUSPECT -> "suspect";
            case DEAD -> "dead";
            case LEFT -> "left";
        };
    }

    static String of(Phase phase) {
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
