package cacheproxy.route;

import java.util.List;
import java.util.Set;

/**
 * A named selection of the list of servers. A server is in it if it is named by each of the conditions that are set; a
 * condition that is empty names all.
 *
 * @param name its name; empty for the pool of all servers
 * @param sites where it stands
 * @param kinds of which kind it is
 * @param labels one of which it carries
 * @param hosts one of which its name matches
 * @param weights the first that its name matches is its weight here, in place of the list's
 * @param origin whether what its servers lack may be asked of the origin, which belongs to each pool that does
 */
public record Pool(
        String name,
        Set<String> sites,
        Set<String> kinds,
        Set<String> labels,
        List<Glob> hosts,
        List<Weight> weights,
        boolean origin) {
    /** All servers. */
    public static final Pool ALL = new Pool("", Set.of(), Set.of(), Set.of(), List.of(), List.of(), true);

    /** A weight for the servers whose names match; 0 or above. */
    public record Weight(Glob host, float weight) {}

    /** Whether the selection names this server. */
    public boolean selects(EndpointAttributes s) {
        return (sites.isEmpty() || sites.contains(s.site()))
                && (kinds.isEmpty() || kinds.contains(s.kind()))
                && (labels.isEmpty() || s.labels().stream().anyMatch(labels::contains))
                && (hosts.isEmpty() || hosts.stream().anyMatch(h -> h.matches(s.host())));
    }

    /** Its weight here, given the list's. */
    public float weight(EndpointAttributes s, float listed) {
        for (Weight w : weights) {
            if (w.host().matches(s.host())) {
                return w.weight();
            }
        }
        return listed;
    }
}
