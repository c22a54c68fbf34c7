package cacheproxy.routing;

/**
 * A frequently requested key.
 *
 * @param count the decaying count of its requests
 */
public record HotKey(long key, int count) {}
