package cacheproxy.proxy.lifecycle;

import cacheproxy.proxy.LearnedStateCodec;
import cacheproxy.routing.LearnedState;
import cacheproxy.state.RecordKind;
import cacheproxy.state.StoredRecord;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.EnumMap;
import java.util.Map;

/**
 * The state that the serving process passes to its successor, as one line of JSON: the endpoint list in use, which both
 * must follow, and the learned state of the load balancers, which the successor would otherwise have to relearn from
 * failures. Keys of the line:
 *
 * <pre>
 * v       {@link #VERSION}
 * list    {@link #endpointList}
 * learnt  {@link #learnedState}
 * kept    {@link #records}
 * </pre>
 *
 * @param endpointList in discovery's JSON format
 * @param learnedState by pool name; empty from a process of an earlier version
 * @param records the other records that outlast a process, in their stored form; empty from an earlier version
 */
public record TakeoverSnapshot(
        JsonObject endpointList, Map<String, LearnedState> learnedState, Map<RecordKind, StoredRecord> records) {
    /** Version of the format; a process that uses another one starts alongside this one, without the snapshot. */
    static final int VERSION = 1;

    /** The snapshot as one line, without a line terminator. */
    public String toJson() {
        JsonObject snapshot = new JsonObject();
        snapshot.addProperty("v", VERSION);
        snapshot.add("list", endpointList);
        snapshot.add("learnt", LearnedStateCodec.toJson(learnedState));
        JsonArray recordArray = new JsonArray();
        records.values().forEach(r -> recordArray.add(r.toJson()));
        snapshot.add("kept", recordArray);
        return snapshot.toString();
    }

    /**
     * Parses the output of {@link #toJson}.
     *
     * @throws RuntimeException if it is malformed or of another version
     */
    public static TakeoverSnapshot parse(String line) {
        JsonObject snapshot = JsonParser.parseString(line).getAsJsonObject();
        if (snapshot.get("v").getAsInt() != VERSION) {
            throw new IllegalArgumentException("unsupported snapshot version " + snapshot.get("v"));
        }
        Map<String, LearnedState> learnedState =
                snapshot.has("learnt") ? LearnedStateCodec.fromJson(snapshot.getAsJsonObject("learnt")) : Map.of();
        Map<RecordKind, StoredRecord> records = new EnumMap<>(RecordKind.class);
        if (snapshot.has("kept")) {
            snapshot.getAsJsonArray("kept")
                    .forEach(e -> StoredRecord.fromJson(e).ifPresent(r -> records.put(r.kind(), r)));
        }
        return new TakeoverSnapshot(snapshot.getAsJsonObject("list"), learnedState, records);
    }
}
