package cacheproxy.gossip;

import cacheproxy.routing.EndpointState;

/**
 * What has become of one server, as the list of a certain version has it.
 *
 * @param version the version of discovery's list in which it was first told so
 * @param endpointId the server's number, the same at all instances
 * @param state {@code REMOVED} if that list does not name it
 * @param startTimeMs when it last started, Unix time in milliseconds; 0 for long ago
 */
public record EndpointChange(long version, int endpointId, EndpointState state, double startTimeMs) {}
