package cacheproxy.load;

/**
 * A scheduled request.
 *
 * @param atNanos scheduled send time, since the start
 * @param kind index of its traffic class
 * @param key the key as sent on the wire
 * @param write whether it is a write
 * @param valueBytes length of a write's value
 */
public record Planned(long atNanos, int kind, String key, boolean write, int valueBytes) {}
