package cacheproxy.gossip;

import cacheproxy.routing.EndpointState;

/**
 * A change of one endpoint, as contained in one version of the endpoint list.
 *
 * @param version the first version of discovery's list that contains the change
 * @param endpointId the same at all instances
 * @param state {@code REMOVED} if that list does not contain the endpoint
 * @param startTimeMs when the endpoint last started, Unix time in milliseconds by discovery's clock; 0 for long ago
 */
public record EndpointChange(long version, int endpointId, EndpointState state, double startTimeMs) {}
