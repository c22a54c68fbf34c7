package cacheproxy.endpoints;

/**
 * What the settings say of polling discovery.
 *
 * @param sharedDiscovery whether one discovery service answers all instances; otherwise an agent on this machine
 *     answers this instance alone
 * @param maxPollIntervalMs within which an instance without a watch has to poll, in milliseconds
 * @param instanceCount instances of this tier, at least 1
 * @param gossipEnabled whether instances pass on to each other what discovery has told them
 */
public record PollerSettings(
        boolean sharedDiscovery, double maxPollIntervalMs, int instanceCount, boolean gossipEnabled) {}
