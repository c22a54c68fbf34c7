package cacheproxy.load;

/**
 * One request that is meant to be sent.
 *
 * @param atNanos when, since the start
 * @param kind index of its class
 * @param key as it stands on the wire
 * @param write whether it changes the key
 * @param valueBytes how long a write's value is
 */
public record Planned(long atNanos, int kind, String key, boolean write, int valueBytes) {}
