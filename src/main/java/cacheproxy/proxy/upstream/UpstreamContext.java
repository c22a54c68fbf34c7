package cacheproxy.proxy.upstream;

import cacheproxy.flow.ByteBudget;
import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.metrics.Metric;
import cacheproxy.proxy.transport.InputTurns;
import cacheproxy.routing.RoutingSettings;
import io.netty.channel.EventLoop;

/** What the connections to servers use of the dispatcher. Event loop only. */
public interface UpstreamContext {
    /** The event loop that everything runs on. */
    EventLoop loop();

    /** The time, in milliseconds, on the clock by which all durations are measured. */
    double now();

    /** By how much, in milliseconds, a request may have arrived earlier than its recorded time. */
    double arrivalToleranceMs();

    /** Runs a task after this time, in milliseconds. */
    void after(double ms, Runnable task);

    /** The settings in force. */
    RoutingSettings settings();

    /** After how long servers close an idle connection, in milliseconds. */
    double idleCloseMs();

    /** The quiet period of connections, as of {@link UpstreamTransport}, in milliseconds. */
    double quietPeriodMs();

    /** The turns in which connections use the event loop. */
    InputTurns inputTurns();

    /** The budget for values that are held completely. */
    ByteBudget valueBudget();

    /** Whether the load balancer currently sends this server no ordinary requests. */
    boolean isAvoided(int server);

    /** Adds one to this metric. */
    void increment(Metric metric);

    /** Counts an attempt that was written completely to a server. */
    void recordForward();

    /** Logs an event, within the rate limit of its kind. */
    void log(EventKind kind, LogMessage message);

    /** Reports that a connection failed; logged unless the other side has closed it. */
    void connectionFailed(Throwable cause);
}
