package cacheproxy.proxy.upstream;

import cacheproxy.flow.ByteBudget;
import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.metrics.Metric;
import cacheproxy.routing.RoutingSettings;
import io.netty.channel.EventLoop;

/** What the connections to servers use of the core. Event loop only. */
public interface UpstreamContext {
    /** What everything runs on. */
    EventLoop loop();

    /** The time, in milliseconds, on the clock that every span is measured by. */
    double now();

    /** By how much, in milliseconds, a request may have arrived earlier than its time says. */
    double arrivalToleranceMs();

    /** Runs a task after this time, in milliseconds. */
    void after(double ms, Runnable task);

    /** The settings in force. */
    RoutingSettings settings();

    /** After how long servers close an idle connection, in milliseconds. */
    double idleCloseMs();

    /** The budget for values that are held completely. */
    ByteBudget valueBudget();

    /** Whether the load balancer sends this server no ordinary request now. */
    boolean isAvoided(int server);

    /** Adds one to this metric. */
    void increment(Metric metric);

    /** Counts an attempt that was written completely to a server. */
    void recordForward();

    /** Logs an event, within the rate limit of its kind. */
    void log(EventKind kind, LogMessage message);

    /** A connection fails; logged unless its other side has closed it. */
    void connectionFailed(Throwable cause);
}
