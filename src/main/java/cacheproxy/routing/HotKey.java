package cacheproxy.routing;

/** A key that is asked for often, with its count, which fades. */
public record HotKey(long key, int count) {}
