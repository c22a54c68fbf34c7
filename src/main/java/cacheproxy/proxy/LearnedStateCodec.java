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
 * What the decision module has learnt, as JSON: what a process tells the one that takes over and what is stored are of
 * this one form.
 */
public final class LearnedStateCodec {
    private static final int MAX_ENTRIES = 10_000;
    private static final double MAX_FIGURE = 1e15;

    private LearnedStateCodec() {}

    /** By the pools' names. */
    public static JsonObject json(Map<String, LearnedState> learnt) {
        JsonObject pools = new JsonObject();
        learnt.forEach((name, e) -> pools.add(name, json(e)));
        return pools;
    }

    /** Reads it; an exception says that it is of no use. */
    public static Map<String, LearnedState> read(JsonObject pools) {
        Map<String, LearnedState> learnt = new HashMap<>();
        pools.entrySet()
                .forEach(e -> learnt.put(e.getKey(), experience(e.getValue().getAsJsonObject())));
        return learnt;
    }

    private static JsonObject json(LearnedState e) {
        JsonObject o = new JsonObject();
        o.add(
                "figures",
                array(
                        e.originFetchMs(),
                        e.usualLatencyMs(),
                        e.latencyDeviationMs(),
                        e.usualCostMs(),
                        e.originLoad().requested(),
                        e.originLoad().completedInTime(),
                        e.endpointLoad().requested(),
                        e.endpointLoad().completedInTime(),
                        e.keyRequestCount()));
        JsonArray hot = new JsonArray();
        e.hotKeys().forEach(h -> hot.add(array(h.key(), h.count())));
        o.add("hot", hot);
        JsonArray servers = new JsonArray();
        e.endpoints()
                .forEach(s -> servers.add(
                        array(s.id(), s.startTimeMs(), s.failures(), s.ejectedUntilMs(), s.slowResponses())));
        o.add("servers", servers);
        return o;
    }

    private static JsonArray array(Number... numbers) {
        JsonArray array = new JsonArray();
        for (Number n : numbers) {
            array.add(n);
        }
        return array;
    }

    private static LearnedState experience(JsonObject o) {
        List<Double> f = new ArrayList<>();
        o.getAsJsonArray("figures").forEach(n -> f.add(figure(n)));
        List<HotKey> hot = new ArrayList<>();
        entries(o, "hot")
                .forEach(h -> hot.add(new HotKey(h.getAsJsonArray().get(0).getAsLong(), (int)
                        figure(h.getAsJsonArray().get(1)))));
        List<EndpointHealthRecord> servers = new ArrayList<>();
        entries(o, "servers").forEach(e -> {
            JsonArray s = e.getAsJsonArray();
            servers.add(new EndpointHealthRecord(
                    s.get(0).getAsInt(), figure(s.get(1)), (int) figure(s.get(2)), figure(s.get(3)), (int)
                            figure(s.get(4))));
        });
        return new LearnedState(
                f.get(0),
                f.get(1),
                f.get(2),
                f.get(3),
                new LoadCount(f.get(4), f.get(5)),
                new LoadCount(f.get(6), f.get(7)),
                f.get(8),
                hot,
                servers);
    }

    private static JsonArray entries(JsonObject o, String name) {
        JsonArray entries = o.getAsJsonArray(name);
        if (entries.size() > MAX_ENTRIES) {
            throw new IllegalArgumentException(entries.size() + " entries of " + name);
        }
        return entries;
    }

    /** All that is told is a time or a count: nothing under 0, and nothing that is no number. */
    private static double figure(JsonElement e) {
        double figure = e.getAsDouble();
        if (!(figure >= 0 && figure <= MAX_FIGURE)) {
            throw new IllegalArgumentException("figure " + e);
        }
        return figure;
    }
}
