package cacheproxy.gossip;

import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;

/**
 * A restriction on the use of an endpoint beyond discovery's last list.
 *
 * @param source why the endpoint is restricted
 * @param draining whether the endpoint receives no new requests; otherwise only its start time differs
 * @param startTimeMs when the endpoint last started, Unix time in milliseconds by the list's clock
 * @param version a list from discovery of this version or a later one ends the restriction
 * @param untilMs from this time on, any list from discovery ends the restriction, in milliseconds
 */
record Restriction(Source source, boolean draining, double startTimeMs, long version, double untilMs) {
    /** Why an endpoint is restricted. */
    enum Source {
        /** A peer that has received a newer version from discovery. */
        PEER,
        /** An earlier list from discovery that was newer than its last one. */
        NEWER_LIST
    }

    /** Applies the restriction to an endpoint of discovery's list. */
    Endpoint appliedTo(Endpoint endpoint) {
        return new Endpoint(
                endpoint.id(),
                endpoint.zone(),
                endpoint.kind(),
                endpoint.cell(),
                draining ? EndpointState.DRAINING : endpoint.state(),
                endpoint.weight(),
                Math.max(startTimeMs, endpoint.startTimeMs()));
    }

    /** Whether a list from discovery, of this version and with this endpoint, ends the restriction. */
    boolean isEndedBy(double nowMs, long listVersion, Endpoint endpoint) {
        boolean startedSince = source == Source.NEWER_LIST && endpoint.startTimeMs() > startTimeMs;
        return version <= listVersion || untilMs <= nowMs || endpoint.state() != EndpointState.READY || startedSince;
    }
}
