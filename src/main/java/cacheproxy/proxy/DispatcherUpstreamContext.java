package cacheproxy.proxy;

import cacheproxy.flow.ByteBudget;
import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.metrics.Metric;
import cacheproxy.proxy.transport.InputTurns;
import cacheproxy.proxy.upstream.UpstreamContext;
import cacheproxy.routing.RoutingSettings;
import io.netty.channel.EventLoop;

/** The context that the {@link Dispatcher} offers to the connections to servers. Event loop only. */
final class DispatcherUpstreamContext implements UpstreamContext {
    private final Dispatcher dispatcher;
    private final double quietPeriodMs;

    DispatcherUpstreamContext(Dispatcher dispatcher, double quietPeriodMs) {
        this.dispatcher = dispatcher;
        this.quietPeriodMs = quietPeriodMs;
    }

    @Override
    public EventLoop loop() {
        return dispatcher.loop();
    }

    @Override
    public double now() {
        return dispatcher.now();
    }

    @Override
    public double arrivalToleranceMs() {
        return LoopClock.TOLERANCE_MS;
    }

    @Override
    public void after(double ms, Runnable task) {
        dispatcher.after(ms, task);
    }

    @Override
    public RoutingSettings settings() {
        return dispatcher.settings();
    }

    @Override
    public double idleCloseMs() {
        return dispatcher.idleCloseMs();
    }

    @Override
    public double quietPeriodMs() {
        return quietPeriodMs;
    }

    @Override
    public InputTurns inputTurns() {
        return dispatcher.inputTurns();
    }

    @Override
    public ByteBudget valueBudget() {
        return dispatcher.bufferLimits().values();
    }

    @Override
    public boolean isAvoided(int server) {
        return dispatcher.isAvoided(server);
    }

    @Override
    public void increment(Metric metric) {
        dispatcher.counters().increment(metric);
    }

    @Override
    public void recordForward() {
        dispatcher.counters().recordForward();
    }

    @Override
    public void log(EventKind kind, LogMessage message) {
        dispatcher.log(kind, message);
    }

    @Override
    public void connectionFailed(Throwable cause) {
        dispatcher.failures().connectionFailed(cause);
    }
}
