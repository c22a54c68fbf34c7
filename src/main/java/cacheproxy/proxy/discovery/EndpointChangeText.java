package cacheproxy.proxy.discovery;

import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import java.util.List;
import java.util.stream.Collectors;

/** The line of the log for a change of the endpoint list, as key=value pairs. */
final class EndpointChangeText {
    /** Of the endpoints in a state, so many are named. */
    private static final int MAX_IDS = 12;

    private EndpointChangeText() {}

    /**
     * The line: what was passed, then for each state that occurs how many endpoints are in it, and the ids of the first
     * of them, in hexadecimal.
     *
     * @param origin which version, and whose word it is, as key=value pairs
     */
    static String of(String origin, List<Endpoint> changed) {
        StringBuilder line = new StringBuilder(origin);
        for (EndpointState state : List.of(EndpointState.REMOVED, EndpointState.DRAINING, EndpointState.READY)) {
            List<Endpoint> inState =
                    changed.stream().filter(e -> e.state() == state).toList();
            if (!inState.isEmpty()) {
                String ids = inState.stream()
                        .limit(MAX_IDS)
                        .map(e -> Integer.toHexString(e.id()))
                        .collect(Collectors.joining(","));
                line.append(' ').append(name(state)).append('=').append(inState.size());
                line.append(' ').append(name(state)).append("_ids=").append(ids);
            }
        }
        return line.toString();
    }

    private static String name(EndpointState state) {
        return switch (state) {
            case REMOVED -> "removed";
            case DRAINING -> "draining";
            case READY -> "ready";
        };
    }
}
