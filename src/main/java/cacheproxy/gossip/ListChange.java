package cacheproxy.gossip;

import cacheproxy.routing.EndpointState;

/**
 * What has become of one server, as the list of a certain version has it.
 *
 * @param version the version of discovery's list in which it was first told so
 * @param server the server's number, the same at all instances
 * @param state {@code REMOVED} if that list does not name it
 * @param bornMs when it last started, Unix time in milliseconds; 0 for long ago
 */
public record ListChange(long version, int server, EndpointState state, double bornMs) {}
