package cacheproxy.routing;

/**
 * A request. {@code serviceClass} and {@code tenant}: by their index in the settings; {@code deadlineMs}: its deadline;
 * {@code costMs}: its work, 0 where nothing tells it.
 */
public record Request(
        int id,
        int serviceClass,
        int tenant,
        long key,
        double deadlineMs,
        double costMs,
        float bytes,
        boolean write,
        boolean clientRetry) {}
