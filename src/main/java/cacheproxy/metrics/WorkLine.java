package cacheproxy.metrics;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What one process has done since it began, as it stands in a line of its log. Each line tells all of it, so the last
 * one of a process is enough, and one that is lost costs only its own time.
 *
 * @param proxy its name
 * @param pid apart from that of others with the name, before and after it
 * @param atMs when, in milliseconds of the Unix clock
 * @param upMs how long it has run
 * @param firstAnswerMs how long it had run when it first served a request; negative: it has not yet
 * @param cpuMs processor time; negative where the system does not tell
 * @param counts how much of what
 * @param nodes those that are avoided now or have turned connections away, {@value #MAX_NODES} at most
 */
public record WorkLine(
        String proxy,
        long pid,
        long atMs,
        long upMs,
        long firstAnswerMs,
        long cpuMs,
        Map<Work, Long> counts,
        List<Node> nodes) {
    /** What a line begins with; what else stands in a log does not. */
    public static final String MARK = "figures ";
    /** Bounds a line, at some 250 KB; the largest fleets have fewer. */
    public static final int MAX_NODES = 4096;

    /**
     * One cache node: its id in the list, connections begun and turned away, whether it gets no ordinary request now.
     */
    public record Node(String id, long opened, long noPlace, boolean avoided) {}

    /** Copies what it is given. */
    public WorkLine {
        counts = counts.isEmpty() ? Map.of() : new EnumMap<>(counts);
        nodes = List.copyOf(nodes.subList(0, Math.min(MAX_NODES, nodes.size())));
    }

    /** How much of this, 0 if none is told. */
    public long count(Work work) {
        return counts.getOrDefault(work, 0L);
    }

    /** The line, without its end. */
    public String text() {
        JsonObject o = new JsonObject();
        o.addProperty("proxy", proxy);
        o.addProperty("pid", pid);
        o.addProperty("at_ms", atMs);
        o.addProperty("up_ms", upMs);
        o.addProperty("first_answer_ms", firstAnswerMs);
        o.addProperty("cpu_ms", cpuMs);
        counts.forEach((work, n) -> o.addProperty(work.key(), n));
        JsonArray all = new JsonArray();
        for (Node n : nodes) {
            JsonObject node = new JsonObject();
            node.addProperty("id", n.id());
            node.addProperty("opened", n.opened());
            node.addProperty("no_place", n.noPlace());
            node.addProperty("avoided", n.avoided());
            all.add(node);
        }
        o.add("nodes", all);
        return MARK + o;
    }

    /** What a line of a log tells; empty if it is another kind of line, or cut off. */
    public static Optional<WorkLine> parse(String line) {
        int at = line.indexOf(MARK + "{"); // whoever collects logs may have put something before it
        if (at < 0) {
            return Optional.empty();
        }
        try {
            JsonObject o =
                    JsonParser.parseString(line.substring(at + MARK.length())).getAsJsonObject();
            Map<Work, Long> counts = new EnumMap<>(Work.class);
            for (Work work : Work.values()) {
                if (o.has(work.key())) {
                    counts.put(work, o.get(work.key()).getAsLong());
                }
            }
            List<Node> nodes = new ArrayList<>();
            for (JsonElement e : o.getAsJsonArray("nodes")) {
                JsonObject n = e.getAsJsonObject();
                nodes.add(new Node(
                        n.get("id").getAsString(),
                        n.get("opened").getAsLong(),
                        n.get("no_place").getAsLong(),
                        n.get("avoided").getAsBoolean()));
            }
            return Optional.of(new WorkLine(
                    o.get("proxy").getAsString(),
                    o.get("pid").getAsLong(),
                    o.get("at_ms").getAsLong(),
                    o.get("up_ms").getAsLong(),
                    o.get("first_answer_ms").getAsLong(),
                    o.get("cpu_ms").getAsLong(),
                    counts,
                    nodes));
        } catch (RuntimeException e) {
            return Optional.empty(); // a process that is killed leaves half a line
        }
    }
}
