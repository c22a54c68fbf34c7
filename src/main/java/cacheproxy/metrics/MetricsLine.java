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
 * The metrics of one process since its start, as one line of its log. Lines are cumulative: the latest line of a
 * process is sufficient, and a lost line only loses the values at its time. The fields whose name differs from the
 * component:
 *
 * <pre>
 * field of the line      component
 * first_answer_ms        firstServedMs
 * opened                 Node.openedConnections
 * no_place               Node.rejectedConnections
 * avoided                Node.ejected
 * </pre>
 *
 * Other fields have the component's name in snake case; counters are named by {@link Metric#key}.
 *
 * @param proxy the proxy's name
 * @param pid the process id, which distinguishes processes of the same name
 * @param atMs when the line was written, in milliseconds since the Unix epoch
 * @param upMs milliseconds since the process started
 * @param firstServedMs milliseconds from start to the first request served; negative if there is none yet
 * @param cpuMs CPU time in milliseconds; negative if the system does not report it
 * @param counts the value of each counter
 * @param nodes cache nodes that are ejected or have rejected connections, {@value #MAX_NODES} at most
 */
public record MetricsLine(
        String proxy,
        long pid,
        long atMs,
        long upMs,
        long firstServedMs,
        long cpuMs,
        Map<Metric, Long> counts,
        List<Node> nodes) {
    /** The prefix of every metrics line and of no other line of the log. */
    public static final String PREFIX = "figures ";
    /** Limits a line to about 250 KB. The largest fleets have fewer nodes. */
    public static final int MAX_NODES = 4096;

    /**
     * The metrics of one cache node.
     *
     * @param id its id in the endpoint list, in hexadecimal
     * @param openedConnections connections begun
     * @param rejectedConnections connections that it rejected because it was at its connection limit
     * @param ejected whether it currently gets no regular requests
     */
    public record Node(String id, long openedConnections, long rejectedConnections, boolean ejected) {}

    /** Copies the collections and drops nodes beyond {@link #MAX_NODES}. */
    public MetricsLine {
        counts = counts.isEmpty() ? Map.of() : new EnumMap<>(counts);
        nodes = List.copyOf(nodes.subList(0, Math.min(MAX_NODES, nodes.size())));
    }

    /** Returns the value of this metric; 0 if the line does not contain it. */
    public long count(Metric metric) {
        return counts.getOrDefault(metric, 0L);
    }

    /** Returns the line without a line terminator. */
    public String text() {
        JsonObject json = new JsonObject();
        json.addProperty("proxy", proxy);
        json.addProperty("pid", pid);
        json.addProperty("at_ms", atMs);
        json.addProperty("up_ms", upMs);
        json.addProperty("first_answer_ms", firstServedMs);
        json.addProperty("cpu_ms", cpuMs);
        counts.forEach((metric, count) -> json.addProperty(metric.key(), count));
        JsonArray nodesJson = new JsonArray();
        nodes.forEach(node -> nodesJson.add(toJson(node)));
        json.add("nodes", nodesJson);
        return PREFIX + json;
    }

    private static JsonObject toJson(Node node) {
        JsonObject json = new JsonObject();
        json.addProperty("id", node.id());
        json.addProperty("opened", node.openedConnections());
        json.addProperty("no_place", node.rejectedConnections());
        json.addProperty("avoided", node.ejected());
        return json;
    }

    /** Parses a line of a log; empty if it is not a metrics line or is truncated. */
    public static Optional<MetricsLine> parse(String line) {
        int at = line.indexOf(PREFIX + "{"); // a log collector may have added a prefix
        if (at < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(fromJson(
                    JsonParser.parseString(line.substring(at + PREFIX.length())).getAsJsonObject()));
        } catch (RuntimeException e) {
            return Optional.empty(); // a killed process may leave a truncated line
        }
    }

    private static MetricsLine fromJson(JsonObject json) {
        Map<Metric, Long> counts = new EnumMap<>(Metric.class);
        for (Metric metric : Metric.values()) {
            if (json.has(metric.key())) {
                counts.put(metric, json.get(metric.key()).getAsLong());
            }
        }
        List<Node> nodes = new ArrayList<>();
        for (JsonElement element : json.getAsJsonArray("nodes")) {
            nodes.add(nodeFromJson(element.getAsJsonObject()));
        }
        return new MetricsLine(
                json.get("proxy").getAsString(),
                json.get("pid").getAsLong(),
                json.get("at_ms").getAsLong(),
                json.get("up_ms").getAsLong(),
                json.get("first_answer_ms").getAsLong(),
                json.get("cpu_ms").getAsLong(),
                counts,
                nodes);
    }

    private static Node nodeFromJson(JsonObject json) {
        return new Node(
                json.get("id").getAsString(),
                json.get("opened").getAsLong(),
                json.get("no_place").getAsLong(),
                json.get("avoided").getAsBoolean());
    }
}
