package cacheproxy.proxy;

import cacheproxy.failover.StoredZoneState;
import cacheproxy.failover.ZoneState;
import cacheproxy.failover.ZoneState.Cause;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Codec of stored zone states: a JSON object with a field for each zone, under the zone's name, as its index depends on
 * the settings. States ordered by operators and states based on evidence are stored separately, as orders are valid for
 * longer.
 *
 * <pre>
 * epoch    epoch
 * open     trafficParts
 * cause    cause: evidence, return, hold, leave
 * leaves   leaveCount
 * floor    minEpoch
 * </pre>
 */
public final class ZoneStateCodec {
    private ZoneStateCodec() {}

    /**
     * Encodes the states that operators ordered, or those based on evidence.
     *
     * @param states all states by zone index
     * @param ordered true for the states that operators ordered
     * @param names the names of the zones by index; zones without a name are left out
     */
    public static JsonObject encode(Map<Integer, StoredZoneState> states, boolean ordered, List<String> names) {
        JsonObject all = new JsonObject();
        states.forEach((zone, stored) -> {
            if (zone < names.size() && ordered != (stored.state().cause() == Cause.EVIDENCE)) {
                JsonObject o = new JsonObject();
                o.addProperty("epoch", stored.state().epoch());
                o.addProperty("open", stored.state().trafficParts());
                o.addProperty("cause", stored.state().cause().storedName());
                o.addProperty("leaves", stored.state().leaveCount());
                o.addProperty("floor", stored.minEpoch());
                all.add(names.get(zone), o);
            }
        });
        return all;
    }

    private static Cause cause(String zone, String name) {
        Cause cause = Cause.ofStoredName(name.toLowerCase(Locale.ROOT));
        if (cause == null) {
            throw new InvalidZoneStateException(
                    "zone " + zone + ": cause '" + name + "', expected evidence, return, hold or leave");
        }
        return cause;
    }

    /**
     * Decodes states by zone index; zones whose name is no longer configured are left out.
     *
     * @throws RuntimeException if a field is missing, of another type or out of range
     */
    public static Map<Integer, StoredZoneState> decode(JsonElement json, List<String> names) {
        Map<Integer, StoredZoneState> states = new TreeMap<>();
        json.getAsJsonObject().entrySet().forEach(e -> {
            JsonObject o = e.getValue().getAsJsonObject();
            int zone = names.indexOf(e.getKey());
            if (zone >= 0) {
                ZoneState state = new ZoneState(
                        o.get("epoch").getAsInt(),
                        o.get("open").getAsInt(),
                        cause(e.getKey(), o.get("cause").getAsString()),
                        o.get("leaves").getAsInt());
                int minEpoch =
                        Math.max(0, Math.min(ZoneState.MAX_EPOCH, o.get("floor").getAsInt()));
                states.put(zone, new StoredZoneState(state, Math.max(minEpoch, state.epoch())));
            }
        });
        return states;
    }
}
