package cacheproxy.proxy.protocol;

/**
 * The parameters that a client sends with its request.
 *
 * @param className the name of its service class
 * @param tenant the tenant that the request is charged to; null if the client does not say
 * @param timeoutMs how long the client waits for the response, in milliseconds; NaN if it does not say
 * @param workMicros what the request costs a server, in microseconds; NaN if the client does not say
 * @param valueBytes the length of the value in bytes; 0 if the client does not say
 * @param repeated whether the client has sent the request before
 */
public record RequestParameters(
        String className, String tenant, double timeoutMs, double workMicros, float valueBytes, boolean repeated) {}
