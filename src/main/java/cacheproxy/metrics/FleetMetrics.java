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
 * Aggregates the metrics lines of all processes of a fleet. A proxy that was restarted is two processes, and both
 * count. Lines may come in any order; the latest line of a process holds.
 */
public final class FleetMetrics {
    /** The process that wrote a line. */
    private record ProcessId(String proxy, long pid) {}

    private final Map<ProcessId, MetricsLine> latest = new LinkedHashMap<>();
    private final List<MetricsLine> lines = new ArrayList<>();
    private int truncatedLines;

    /**
     * How the ejection of a node spread over the fleet. Its resolution is the interval between lines.
     *
     * @param node its id
     * @param fromMs when the first process was seen to eject it, in milliseconds since the Unix epoch
     * @param spreadMs until the last process joined while others still ejected it, in milliseconds
     * @param proxies how many processes ejected it at some time in between
     */
    public record Ejection(String node, long fromMs, long spreadMs, int proxies) {}

    /** A span of time in which at least one process ejects a node. */
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

        /** Whether this was the last process to eject it. */
        boolean recordReturn(ProcessId process) {
            return stillEjectedBy.remove(process) && stillEjectedBy.isEmpty();
        }

        Ejection toEjection() {
            return new Ejection(node, fromMs, lastJoinedMs - fromMs, ejectedBy.size());
        }
    }

    /** The latest line of each process. */
    public Collection<MetricsLine> processes() {
        return latest.values();
    }

    /** Adds one line of a log; lines other than those of metrics are skipped. */
    public void add(String line) {
        MetricsLine.parse(line).ifPresentOrElse(this::add, () -> {
            if (line.startsWith(MetricsLine.PREFIX)) {
                truncatedLines++;
            }
        });
    }

    /** Adds one line. */
    public void add(MetricsLine line) {
        lines.add(line);
        latest.merge(
                new ProcessId(line.proxy(), line.pid()),
                line,
                (known, added) -> added.atMs() >= known.atMs() ? added : known);
    }

    /** How many metrics lines were truncated. */
    public int truncatedLines() {
        return truncatedLines;
    }

    /** The sum of this metric over all processes. */
    public long total(Metric metric) {
        return latest.values().stream().mapToLong(line -> line.count(metric)).sum();
    }

    /** Milliseconds from the start of the first process to the last line. */
    public long spanMs() {
        long from = latest.values().stream()
                .mapToLong(line -> line.atMs() - line.upMs())
                .min()
                .orElse(0);
        return latest.values().stream().mapToLong(MetricsLine::atMs).max().orElse(0) - from;
    }

    /** Connections rejected by nodes at their connection limit, by node, the most first. */
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

    /** Every ejection of a node by at least one process, in order of time. */
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
