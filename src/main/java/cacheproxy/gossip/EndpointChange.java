package cacheproxy.gossip;

import cacheproxy.routing.EndpointState;

/**
 * A change of one endpoint, as the list of a certain version has it.
 *
 * @param version the version of discovery's list that has it first
 * @param endpointId the same at all instances
 * @param state {@code REMOVED} if that list does not name the endpoint
 * @param startTimeMs when it last started, Unix time in milliseconds by discovery's clock; 0 for long ago
 */
public record EndpointChange(long version, int endpointId, EndpointState state, double startTimeMs) {}
