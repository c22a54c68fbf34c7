package cacheproxy.proxy;

import cacheproxy.proxy.Timers.Timer;
import cacheproxy.routing.EndpointLocation;

/** One attempt of a request at a server, or a health check of that server. Event loop only. */
final class RequestAttempt {
    /** Null for a health check. */
    final ClientRequest request;
    /** How many attempts of the request were made before it. */
    final int index;

    final int server;
    /** When it was ordered, on the clock of {@link Dispatcher#now}. */
    final double sentMs;
    /** When the proxy stops waiting for it, on the same clock. */
    final double expiresMs;
    /** The location of its server. */
    final EndpointLocation location;

    /** The connection it was assigned to; null before. */
    UpstreamConnection connection;
    /** Whether its last byte was written. */
    boolean written;
    /** Whether it has had its one outcome. */
    boolean ended;
    /** Once ended: whether the server may have executed it, or may yet. */
    boolean mayHaveRun;
    /** When the first bytes of a streamed response came; 0 before. */
    double firstByteMs;

    /** Expires the attempt; null where the request's own deadline does. */
    Timer timer;

    RequestAttempt(
            ClientRequest request, int index, int server, EndpointLocation location, double sentMs, double expiresMs) {
        this.request = request;
        this.index = index;
        this.server = server;
        this.location = location;
        this.sentMs = sentMs;
        this.expiresMs = expiresMs;
    }

    boolean isHealthCheck() {
        return request == null;
    }

    /** Whether its response is being streamed to the client. */
    boolean isStreaming() {
        return firstByteMs != 0;
    }

    /**
     * How long the proxy still waits for it, in whole milliseconds. Rounded down, since a server must not be told of
     * time that its client does not have; at least 1, since servers take 0 for no deadline.
     */
    long remainingMs(double nowMs) {
        return Math.max(1, (long) Math.floor(expiresMs - nowMs));
    }
}
