package cacheproxy.proxy;

import cacheproxy.routing.LearnedState;
import cacheproxy.state.RecordKind;
import cacheproxy.state.StoredRecord;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.EnumMap;
import java.util.Map;

/**
 * What a process that serves tells the one that takes over, as one line of JSON: the list of servers as it is held,
 * which binds both, and what the decision module has learnt, which the new one would else learn again from failures.
 *
 * @param list in discovery's form
 * @param learnt by the pools' names; may be empty, as a process of an earlier version tells nothing of it
 * @param kept what else outlasts a process, as it would be stored; empty from an earlier version
 */
record TakeoverState(JsonObject list, Map<String, LearnedState> learnt, Map<RecordKind, StoredRecord> kept) {
    /** The version of what is passed over; a process that speaks another starts beside this one, without it. */
    static final int VERSION = 1;

    String json() {
        JsonObject state = new JsonObject();
        state.addProperty("v", VERSION);
        state.add("list", list);
        state.add("learnt", LearnedStateCodec.toJson(learnt));
        JsonArray records = new JsonArray();
        kept.values().forEach(r -> records.add(r.toJson()));
        state.add("kept", records);
        return state.toString();
    }

    /** Reads such a line; an exception says that it is of no use. */
    static TakeoverState read(String line) {
        JsonObject state = JsonParser.parseString(line).getAsJsonObject();
        if (state.get("v").getAsInt() != VERSION) {
            throw new IllegalArgumentException("version " + state.get("v"));
        }
        Map<String, LearnedState> learnt =
                state.has("learnt") ? LearnedStateCodec.fromJson(state.getAsJsonObject("learnt")) : Map.of();
        Map<RecordKind, StoredRecord> kept = new EnumMap<>(RecordKind.class);
        if (state.has("kept")) {
            state.getAsJsonArray("kept").forEach(e -> StoredRecord.fromJson(e).ifPresent(r -> kept.put(r.kind(), r)));
        }
        return new TakeoverState(state.getAsJsonObject("list"), learnt, kept);
    }
}
