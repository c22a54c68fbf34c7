package cacheproxy.route;

import java.util.List;
import java.util.Set;

/**
 * A named selection of the endpoint list. An endpoint is in the pool if it meets each of the conditions; an empty
 * condition is met by all.
 *
 * @param name its name; empty for the pool of all endpoints
 * @param sites the names of the sites where it may stand
 * @param kinds the kinds that it may be of
 * @param labels it carries one of these
 * @param hosts its host name matches one of these
 * @param weights the first whose pattern its host name matches is its weight in this pool, in place of the list's
 * @param origin whether the pool has the origin too, which serves what its endpoints lack
 */
public record Pool(
        String name,
        Set<String> sites,
        Set<String> kinds,
        Set<String> labels,
        List<Glob> hosts,
        List<Weight> weights,
        boolean origin) {
    /** The pool of all endpoints. */
    public static final Pool ALL = new Pool("", Set.of(), Set.of(), Set.of(), List.of(), List.of(), true);

    /**
     * A weight for some endpoints of a pool.
     *
     * @param host pattern of their host names
     * @param weight 0 or more, 1 for one like the others
     */
    public record Weight(Glob host, float weight) {}

    /** Whether an endpoint with these attributes is in the pool. */
    public boolean selects(EndpointAttributes endpoint) {
        return (sites.isEmpty() || sites.contains(endpoint.site()))
                && (kinds.isEmpty() || kinds.contains(endpoint.kind()))
                && (labels.isEmpty() || endpoint.labels().stream().anyMatch(labels::contains))
                && (hosts.isEmpty() || hosts.stream().anyMatch(host -> host.matches(endpoint.host())));
    }

    /**
     * The weight of an endpoint in this pool.
     *
     * @param listed its weight on the endpoint list
     */
    public float weight(EndpointAttributes endpoint, float listed) {
        for (Weight weight : weights) {
            if (weight.host().matches(endpoint.host())) {
                return weight.weight();
            }
        }
        return listed;
    }
}
