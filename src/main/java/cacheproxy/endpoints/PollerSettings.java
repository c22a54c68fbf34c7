package cacheproxy.endpoints;

/**
 * The settings for polling discovery.
 *
 * @param sharedDiscovery whether one discovery service serves all instances; otherwise an agent on this machine serves
 *     this instance alone
 * @param maxPollIntervalMs the time within which an instance without a watch has to poll, in milliseconds
 * @param instanceCount the number of instances in the fleet, at least 1
 * @param gossipEnabled whether instances pass on to each other what they received from discovery
 */
public record PollerSettings(
        boolean sharedDiscovery, double maxPollIntervalMs, int instanceCount, boolean gossipEnabled) {}
