package cacheproxy.proxy;

import cacheproxy.flow.ReadTimeout;
import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.metrics.LoopStall;
import cacheproxy.metrics.Metric;
import java.io.IOException;

/** Counts and logs connection failures and event loop stalls. Event loop only. */
public final class ConnectionFailures {
    private final Counters counters;
    private final EventLog log;

    ConnectionFailures(Counters counters, EventLog log) {
        this.counters = counters;
        this.log = log;
    }

    /** A client's connection could not be accepted. */
    public void acceptFailed(Throwable cause) {
        counters.increment(Metric.ACCEPT_FAILURES);
        log.log(
                EventKind.ACCEPT_FAILED,
                LogMessage.of("connection not accepted").with("cause", cause.getMessage()));
    }

    /** A client stopped sending within a request, or has sent none. */
    public void clientTimedOut(Object client, ReadTimeout timeout) {
        counters.increment(Metric.CLIENT_TIMEOUTS);
        log.log(
                EventKind.CLIENT_TIMEOUT,
                LogMessage.of("client stopped sending").with("client", client).with("awaited", timeout));
    }

    /** A connection failed. I/O errors, as after a close by the remote side, are expected; others are logged. */
    public void connectionFailed(Throwable cause) {
        if (!(cause instanceof IOException)) {
            log.log(EventKind.INTERNAL_ERROR, LogMessage.of("connection failed").with("cause", cause));
        }
    }

    /**
     * The event loop did not look for input for longer than deadlines allow for.
     *
     * @param openRequests the requests in hand
     * @param connections the connections to servers
     */
    void eventLoopStalled(LoopStall stall, int openRequests, int connections) {
        counters.increment(Metric.EVENT_LOOP_STALLS);
        log.log(
                EventKind.EVENT_LOOP_STALLED,
                stall.message().with("open_requests", openRequests).with("server_connections", connections));
    }
}
