package cacheproxy.routing;

/**
 * A key that is asked for often.
 *
 * @param count of its requests, decaying
 */
public record HotKey(long key, int count) {}
