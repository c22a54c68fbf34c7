package cacheproxy.routing;

/**
 * A client's request.
 *
 * @param id unique among the pending requests of the instance
 * @param serviceClass the index of its service class in the settings
 * @param tenant the index of its tenant in the settings; 0 if the settings have no tenants
 * @param key the key of the object; 0 for none
 * @param deadlineMs when the client stops waiting, in milliseconds of the clock of events
 * @param costMs a hint of the processing cost, in milliseconds; 0 or NaN if there is none
 * @param bytes the size of the value; 0 if unknown
 * @param write whether the request changes the object
 * @param clientRetry whether the client marks the request as a retry
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
