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
 * Adds up the lines of all processes of a tier. A proxy that was started again is two processes, and both count. Lines
 * may come in any order; of those of one process the latest holds.
 */
public final class FleetWork {
    /** Who wrote a line. */
    private record Life(String proxy, long pid) {}

    private final Map<Life, WorkLine> latest = new LinkedHashMap<>();
    private final List<WorkLine> lines = new ArrayList<>();
    private int unread;

    /**
     * How a node came to be avoided: from the time at which the first process was seen to, to the last that joined
     * while others still did. As coarse as the lines are apart.
     *
     * @param node its id
     * @param fromMs when the first was seen to avoid it, by the Unix clock
     * @param tookMs until the last was
     * @param proxies how many did, at some time of the spell
     */
    public record Left(String node, long fromMs, long tookMs, int proxies) {}

    /** One time for which some process avoids a node. */
    private static final class Spell {
        private final String node;
        private final long fromMs;
        private long lastMs;
        private final Set<Life> who = new HashSet<>();
        private final Set<Life> still = new HashSet<>();

        Spell(String node, long fromMs) {
            this.node = node;
            this.fromMs = fromMs;
        }

        void avoidedBy(Life life, long atMs) {
            still.add(life);
            if (who.add(life)) {
                lastMs = atMs;
            }
        }

        /** Whether this was the last. */
        boolean endedBy(Life life) {
            return still.remove(life) && still.isEmpty();
        }

        Left left() {
            return new Left(node, fromMs, lastMs - fromMs, who.size());
        }
    }

    /** What one process has done. */
    public Collection<WorkLine> processes() {
        return latest.values();
    }

    /** Takes one line of a log; others than those of figures are passed over. */
    public void add(String line) {
        WorkLine.parse(line).ifPresentOrElse(this::add, () -> {
            if (line.startsWith(WorkLine.MARK)) {
                unread++;
            }
        });
    }

    /** Takes one line. */
    public void add(WorkLine line) {
        lines.add(line);
        latest.merge(new Life(line.proxy(), line.pid()), line, (a, b) -> b.atMs() >= a.atMs() ? b : a);
    }

    /** Lines of figures that were cut off. */
    public int unread() {
        return unread;
    }

    /** How much of this all have done. */
    public long total(Work work) {
        return latest.values().stream().mapToLong(l -> l.count(work)).sum();
    }

    /** For how long all of them are told of, in milliseconds: from the start of the first to the last line. */
    public long spanMs() {
        long from = latest.values().stream()
                .mapToLong(l -> l.atMs() - l.upMs())
                .min()
                .orElse(0);
        return latest.values().stream().mapToLong(WorkLine::atMs).max().orElse(0) - from;
    }

    /** Connections turned away for want of a place, by node, the most first. */
    public List<Map.Entry<String, Long>> turnedAway() {
        Map<String, Long> sums = new TreeMap<>();
        latest.values()
                .forEach(l -> l.nodes().stream()
                        .filter(n -> n.noPlace() > 0)
                        .forEach(n -> sums.merge(n.id(), n.noPlace(), Long::sum)));
        return sums.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder()))
                .toList();
    }

    /** How each node that any process has avoided came to be, in the order of time. */
    public List<Left> left() {
        List<Left> all = new ArrayList<>();
        Map<String, Spell> spells = new HashMap<>();
        lines.stream().sorted(Comparator.comparingLong(WorkLine::atMs)).forEach(l -> {
            Life life = new Life(l.proxy(), l.pid());
            Set<String> now = new HashSet<>();
            l.nodes().stream().filter(WorkLine.Node::avoided).forEach(n -> now.add(n.id()));
            now.forEach(node ->
                    spells.computeIfAbsent(node, n -> new Spell(n, l.atMs())).avoidedBy(life, l.atMs()));
            spells.values().removeIf(spell -> {
                boolean over = !now.contains(spell.node) && spell.endedBy(life);
                if (over) {
                    all.add(spell.left());
                }
                return over;
            });
        });
        spells.values().forEach(spell -> all.add(spell.left()));
        all.sort(Comparator.comparingLong(Left::fromMs).thenComparing(Left::node));
        return all;
    }
}
