package cacheproxy.metrics;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Aggregates the metrics lines of all processes of a fleet. A restarted proxy counts as two processes. Lines may be
 * added in any order; the latest line of each process is used.
 */
public final class FleetMetrics {
    /** The process that wrote a line. */
    private record ProcessId(String proxy, long pid) {}

    private final Map<ProcessId, MetricsLine> latest = new LinkedHashMap<>();
    private final List<MetricsLine> lines = new ArrayList<>();
    private int truncatedLines;

    /**
     * The spread of a node's ejection over the fleet. Its resolution is the interval between lines.
     *
     * @param node the node's id
     * @param fromMs when the first process reported the ejection, in milliseconds since the Unix epoch
     * @param spreadMs milliseconds until the last process ejected the node as well while others still ejected it
     * @param proxies the number of processes that ejected the node at some time in this span
     */
    public record Ejection(String node, long fromMs, long spreadMs, int proxies) {}

    /** A time span during which at least one process ejects a node. */
    private static final class EjectionSpan {
        private final String node;
        private final long fromMs;
        private long lastJoinedMs;
        private final Set<ProcessId> ejectedBy = new HashSet<>();
        private final Set<ProcessId> stillEjectedBy = new HashSet<>();

        EjectionSpan(String node, long fromMs) {
            this.node = node;
            this.fromMs = fromMs;
        }

        void recordEjection(ProcessId process, long atMs) {
            stillEjectedBy.add(process);
            if (ejectedBy.add(process)) {
                lastJoinedMs = atMs;
            }
        }

        /** Records that this process no longer ejects the node; returns whether it was the last one to do so. */
        boolean recordReturn(ProcessId process) {
            return stillEjectedBy.remove(process) && stillEjectedBy.isEmpty();
        }

        Ejection toEjection() {
            return new Ejection(node, fromMs, lastJoinedMs - fromMs, ejectedBy.size());
        }
    }

    /** Returns the latest line of each process. */
    public Collection<MetricsLine> processes() {
        return latest.values();
    }

    /** Adds a line of a log; lines without metrics are skipped. */
    public void add(String line) {
        MetricsLine.parse(line).ifPresentOrElse(this::add, () -> {
            if (line.startsWith(MetricsLine.PREFIX)) {
                truncatedLines++;
            }
        });
    }

    /** Adds a metrics line. */
    public void add(MetricsLine line) {
        lines.add(line);
        latest.merge(
                new ProcessId(line.proxy(), line.pid()),
                line,
                (known, added) -> added.atMs() >= known.atMs() ? added : known);
    }

    /** Returns the number of truncated metrics lines. */
    public int truncatedLines() {
        return truncatedLines;
    }

    /** Returns the sum of this metric over all processes. */
    public long total(Metric metric) {
        return latest.values().stream().mapToLong(line -> line.count(metric)).sum();
    }

    /** Returns the milliseconds from the start of the first process to the last line. */
    public long spanMs() {
        long from = latest.values().stream()
                .mapToLong(line -> line.atMs() - line.upMs())
                .min()
                .orElse(0);
        return latest.values().stream().mapToLong(MetricsLine::atMs).max().orElse(0) - from;
    }

    /** Returns the connections rejected by nodes at their connection limit, by node in descending order. */
    public List<Map.Entry<String, Long>> rejectedConnections() {
        Map<String, Long> sums = new TreeMap<>();
        latest.values()
                .forEach(line -> line.nodes().stream()
                        .filter(node -> node.rejectedConnections() > 0)
                        .forEach(node -> sums.merge(node.id(), node.rejectedConnections(), Long::sum)));
        return sums.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder()))
                .toList();
    }

    /** Returns each ejection of a node by at least one process, in order of time. */
    public List<Ejection> ejections() {
        List<Ejection> ejections = new ArrayList<>();
        Map<String, EjectionSpan> open = new HashMap<>();
        lines.stream().sorted(Comparator.comparingLong(MetricsLine::atMs)).forEach(line -> {
            ProcessId process = new ProcessId(line.proxy(), line.pid());
            Set<String> ejected = new HashSet<>();
            line.nodes().stream().filter(MetricsLine.Node::ejected).forEach(node -> ejected.add(node.id()));
            ejected.forEach(node -> open.computeIfAbsent(node, n -> new EjectionSpan(n, line.atMs()))
                    .recordEjection(process, line.atMs()));
            open.values().removeIf(span -> {
                boolean over = !ejected.contains(span.node) && span.recordReturn(process);
                if (over) {
                    ejections.add(span.toEjection());
                }
                return over;
            });
        });
        open.values().forEach(span -> ejections.add(span.toEjection()));
        ejections.sort(Comparator.comparingLong(Ejection::fromMs).thenComparing(Ejection::node));
        return ejections;
    }
}
