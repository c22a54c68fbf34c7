/**
 * Deterministic simulation of a tier of proxies in front of one fleet, in virtual time. It runs the production decision
 * modules ({@code CarpLoadBalancer}, {@code ListVersionGossip}) over models of what the proxies share: cache nodes with
 * a limited number of connections, one slow origin, discovery, messages between proxies, links that are partitioned,
 * lose responses or are reset, and clients that retry. It uses no sockets, threads or clocks: the same seed gives the
 * same run. The rules are checked for each request over all instances. The server models that the emulated fleet runs
 * on sockets are used here unchanged.
 */
package cacheproxy.model;
