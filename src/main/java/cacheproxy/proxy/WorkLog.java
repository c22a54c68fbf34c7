package cacheproxy.proxy;

import cacheproxy.metrics.Work;
import cacheproxy.metrics.WorkLine;
import io.netty.channel.EventLoop;
import java.io.PrintStream;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Writes a line of figures at even times, for {@code figures} to add up over all proxies of a tier. On the event loop:
 * what is counted is counted there.
 */
final class WorkLog {
    private final String name;
    private final Dispatcher dispatcher;
    private final PrintStream out;

    WorkLog(String name, Dispatcher dispatcher, PrintStream out) {
        this.name = name;
        this.dispatcher = dispatcher;
        this.out = out;
    }

    /** Begins, a line each time so much has passed. */
    void every(EventLoop loop, long ms) {
        loop.scheduleAtFixedRate(() -> out.println(line().text()), ms, ms, TimeUnit.MILLISECONDS);
    }

    WorkLine line() {
        Counters c = dispatcher.counters();
        Map<Work, Long> counts = new EnumMap<>(Work.class);
        for (Work work : Work.values()) {
            counts.put(work, c.done(work));
        }
        List<WorkLine.Node> nodes = dispatcher.servers().troubled();
        long cpu = ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(d -> d.toMillis())
                .orElse(-1L);
        return new WorkLine(
                name,
                ProcessHandle.current().pid(),
                System.currentTimeMillis(),
                Math.round(dispatcher.now() - dispatcher.startedMs()),
                dispatcher.firstServedMs(),
                cpu,
                counts,
                nodes);
    }
}
