package cacheproxy.routing;

/**
 * A client's request.
 *
 * @param id unique among the pending requests of the instance
 * @param serviceClass the index of its class in the settings
 * @param tenant the index of its tenant in the settings; 0 where these name none
 * @param key of the object; 0 for none
 * @param deadlineMs when its client stops waiting, in milliseconds of the clock of events
 * @param costMs a hint of its work, in milliseconds; 0 or NaN where there is none
 * @param bytes the size of its value, where known; 0 otherwise
 * @param write whether it changes the object
 * @param clientRetry whether the client says that it repeats a request
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
