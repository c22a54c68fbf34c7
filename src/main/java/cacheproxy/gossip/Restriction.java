package cacheproxy.gossip;

import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;

/**
 * How an endpoint is to be used with more care than discovery's last list says.
 *
 * @param source why
 * @param draining whether it gets no new requests; otherwise only its start time differs
 * @param startTimeMs when it last started, Unix time in milliseconds by the list's clock
 * @param version a list of discovery's of this version or a later one ends the restriction
 * @param untilMs from then on any list of discovery's ends it, in milliseconds
 */
record Restriction(Source source, boolean draining, double startTimeMs, long version, double untilMs) {
    /** Why an endpoint is restricted. */
    enum Source {
        /** A peer, to which discovery has sent a newer version. */
        PEER,
        /** Discovery, by a list that was newer than its last one. */
        NEWER_LIST
    }

    /** The endpoint as it is to be used, given discovery's. */
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

    /** Whether a list of discovery's, of this version and with the endpoint like this, ends the restriction. */
    boolean isEndedBy(double nowMs, long listVersion, Endpoint endpoint) {
        boolean startedSince = source == Source.NEWER_LIST && endpoint.startTimeMs() > startTimeMs;
        return version <= listVersion || untilMs <= nowMs || endpoint.state() != EndpointState.READY || startedSince;
    }
}
