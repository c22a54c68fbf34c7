package cacheproxy.proxy.discovery;

import cacheproxy.metrics.LogMessage;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import java.util.List;
import java.util.stream.Collectors;

/** Formats the changed endpoints of a list for the log. */
final class EndpointChangeText {
    /** The maximum number of ids that are logged for each state. */
    private static final int MAX_IDS = 12;

    private EndpointChangeText() {}

    /**
     * Adds, for each state that occurs, how many endpoints are in it, and the ids of the first of them in hexadecimal.
     *
     * @return the same message
     */
    static LogMessage append(LogMessage message, List<Endpoint> changed) {
        for (EndpointState state : List.of(EndpointState.REMOVED, EndpointState.DRAINING, EndpointState.READY)) {
            List<Endpoint> inState =
                    changed.stream().filter(e -> e.state() == state).toList();
            if (!inState.isEmpty()) {
                String ids = inState.stream()
                        .limit(MAX_IDS)
                        .map(e -> Integer.toHexString(e.id()))
                        .collect(Collectors.joining(","));
                message.with(name(state), inState.size()).with(name(state) + "_ids", ids);
            }
        }
        return message;
    }

    private static String name(EndpointState state) {
        return switch (state) {
            case REMOVED -> "removed";
            case DRAINING -> "draining";
            case READY -> "ready";
        };
    }
}
