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
 * What is held of zones, as JSON: by the zones' names, as their numbers hang on the settings, and apart by whose word
 * it is, as an order lasts longer than what was seen.
 */
public final class ZoneStateCodec {
    private ZoneStateCodec() {}

    /** Of those zones that stand as ordered, or as found on evidence. */
    public static JsonObject encode(Map<Integer, StoredZoneState> held, boolean ordered, List<String> names) {
        JsonObject all = new JsonObject();
        held.forEach((zone, h) -> {
            if (zone < names.size() && ordered != (h.state().cause() == Cause.EVIDENCE)) {
                JsonObject o = new JsonObject();
                o.addProperty("epoch", h.state().epoch());
                o.addProperty("open", h.state().openParts());
                o.addProperty("cause", h.state().cause().storedName());
                o.addProperty("leaves", h.state().leaveCount());
                o.addProperty("floor", h.minEpoch());
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

    /** Reads it; zones that there are no more are left out, and an exception says that it is of no use. */
    public static Map<Integer, StoredZoneState> decode(JsonElement json, List<String> names) {
        Map<Integer, StoredZoneState> held = new TreeMap<>();
        json.getAsJsonObject().entrySet().forEach(e -> {
            JsonObject o = e.getValue().getAsJsonObject();
            int zone = names.indexOf(e.getKey());
            if (zone >= 0) {
                ZoneState state = new ZoneState(
                        o.get("epoch").getAsInt(),
                        o.get("open").getAsInt(),
                        cause(e.getKey(), o.get("cause").getAsString()),
                        o.get("leaves").getAsInt());
                int floor =
                        Math.max(0, Math.min(ZoneState.MAX_EPOCH, o.get("floor").getAsInt()));
                held.put(zone, new StoredZoneState(state, Math.max(floor, state.epoch())));
            }
        });
        return held;
    }
}
