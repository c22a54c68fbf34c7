package cacheproxy.proxy;

import cacheproxy.routing.EndpointHealthRecord;
import cacheproxy.routing.HotKey;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.LoadCount;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Codec of the load balancer's learned state, for state files and for the state that a process passes to its successor:
 * a JSON object with a field for each pool, under the pool's name ({@code ""} for all endpoints).
 *
 * <table>
 * <caption>Fields of a pool, arrays by position</caption>
 * <tr><td>{@code figures}</td><td>origin fetch (ms), mean latency (ms), latency deviation (ms), mean cost (ms),
 * origin requests, of these in time, endpoint requests, of these in time, keyed requests</td></tr>
 * <tr><td>{@code hot}</td><td>for each hot key: key, count</td></tr>
 * <tr><td>{@code servers}</td><td>for each endpoint: id, start time (Unix ms), failures, ejected until (Unix ms), slow
 * responses</td></tr>
 * </table>
 */
public final class LearnedStateCodec {
    private static final String SCALARS = "figures";
    private static final String HOT_KEYS = "hot";
    private static final String ENDPOINTS = "servers";

    private static final int MAX_ENTRIES = 10_000;
    private static final double MAX_NUMBER = 1e15;

    private LearnedStateCodec() {}

    // ---- writing

    /** Encodes learned states, by pool name. */
    public static JsonObject toJson(Map<String, LearnedState> learnedStates) {
        JsonObject pools = new JsonObject();
        learnedStates.forEach((pool, state) -> pools.add(pool, toJson(state)));
        return pools;
    }

    private static JsonObject toJson(LearnedState state) {
        JsonObject json = new JsonObject();
        json.add(
                SCALARS,
                array(
                        state.originFetchMs(),
                        state.meanLatencyMs(),
                        state.latencyDeviationMs(),
                        state.meanCostMs(),
                        state.originLoad().requested(),
                        state.originLoad().completedInTime(),
                        state.endpointLoad().requested(),
                        state.endpointLoad().completedInTime(),
                        state.keyRequestCount()));
        JsonArray hotKeys = new JsonArray();
        state.hotKeys().forEach(k -> hotKeys.add(array(k.key(), k.count())));
        json.add(HOT_KEYS, hotKeys);
        JsonArray endpoints = new JsonArray();
        state.endpoints()
                .forEach(e -> endpoints.add(array(
                        e.id(), e.startTimeMs(), e.consecutiveFailures(), e.ejectedUntilMs(), e.slowResponses())));
        json.add(ENDPOINTS, endpoints);
        return json;
    }

    private static JsonArray array(Number... numbers) {
        JsonArray array = new JsonArray();
        for (Number n : numbers) {
            array.add(n);
        }
        return array;
    }

    // ---- reading

    /**
     * Decodes learned states, by pool name.
     *
     * @throws MalformedStateException or another unchecked exception if the JSON is not in the expected format
     */
    public static Map<String, LearnedState> fromJson(JsonObject pools) {
        Map<String, LearnedState> learnedStates = new HashMap<>();
        pools.entrySet()
                .forEach(pool -> learnedStates.put(
                        pool.getKey(), learnedState(pool.getValue().getAsJsonObject())));
        return learnedStates;
    }

    private static LearnedState learnedState(JsonObject json) {
        List<Double> scalars = new ArrayList<>();
        json.getAsJsonArray(SCALARS).forEach(f -> scalars.add(number(f)));
        List<HotKey> hotKeys = new ArrayList<>();
        entries(json, HOT_KEYS).forEach(k -> hotKeys.add(hotKey(k.getAsJsonArray())));
        List<EndpointHealthRecord> endpoints = new ArrayList<>();
        entries(json, ENDPOINTS).forEach(e -> endpoints.add(endpoint(e.getAsJsonArray())));
        return new LearnedState(
                scalars.get(0),
                scalars.get(1),
                scalars.get(2),
                scalars.get(3),
                new LoadCount(scalars.get(4), scalars.get(5)),
                new LoadCount(scalars.get(6), scalars.get(7)),
                scalars.get(8),
                hotKeys,
                endpoints);
    }

    private static HotKey hotKey(JsonArray entry) {
        return new HotKey(entry.get(0).getAsLong(), (int) number(entry.get(1)));
    }

    private static EndpointHealthRecord endpoint(JsonArray entry) {
        int id = entry.get(0).getAsInt();
        double startTimeMs = number(entry.get(1));
        int failures = (int) number(entry.get(2));
        double ejectedUntilMs = number(entry.get(3));
        int slowResponses = (int) number(entry.get(4));
        return new EndpointHealthRecord(id, startTimeMs, failures, ejectedUntilMs, slowResponses);
    }

    private static JsonArray entries(JsonObject json, String name) {
        JsonArray entries = json.getAsJsonArray(name);
        if (entries.size() > MAX_ENTRIES) {
            throw new MalformedStateException(
                    "'" + name + "' has " + entries.size() + " entries; at most " + MAX_ENTRIES + " are expected");
        }
        return entries;
    }

    /** Reads a time or a count. */
    private static double number(JsonElement json) {
        double value = json.getAsDouble();
        if (!(value >= 0 && value <= MAX_NUMBER)) {
            throw new MalformedStateException("expected a number from 0 to 1e15, found " + json);
        }
        return value;
    }
}
