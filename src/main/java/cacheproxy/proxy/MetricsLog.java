package cacheproxy.proxy;

import cacheproxy.metrics.Metric;
import cacheproxy.metrics.MetricsLine;
import io.netty.channel.EventLoop;
import java.io.PrintStream;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Writes the metrics of this process as a line at a fixed interval; the command {@code figures} aggregates the lines of
 * a fleet. Event loop only, as the counters are.
 */
public final class MetricsLog {
    private static final long UNKNOWN = -1;

    private final String proxyName;
    private final Dispatcher dispatcher;
    private final PrintStream out;

    /** Creates a log that writes nothing until it is started. */
    public MetricsLog(String proxyName, Dispatcher dispatcher, PrintStream out) {
        this.proxyName = proxyName;
        this.dispatcher = dispatcher;
        this.out = out;
    }

    /** Starts to write a line at this interval in milliseconds. */
    public void start(EventLoop loop, long intervalMs) {
        loop.scheduleAtFixedRate(() -> out.println(line().text()), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    MetricsLine line() {
        Counters counters = dispatcher.counters();
        Map<Metric, Long> counts = new EnumMap<>(Metric.class);
        for (Metric metric : Metric.values()) {
            counts.put(metric, counters.count(metric));
        }
        List<MetricsLine.Node> nodes = dispatcher.servers().unhealthyNodes();
        long cpuMs = ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(Duration::toMillis)
                .orElse(UNKNOWN);
        return new MetricsLine(
                proxyName,
                ProcessHandle.current().pid(),
                System.currentTimeMillis(),
                Math.round(dispatcher.now() - dispatcher.startedMs()),
                dispatcher.firstServedMs(),
                cpuMs,
                counts,
                nodes);
    }
}
