package cacheproxy.proxy;

import cacheproxy.failover.ZoneState;
import cacheproxy.failover.ZoneState.Cause;
import cacheproxy.failover.Zones.Held;
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
public final class ZoneForm {
    private ZoneForm() {}

    /** Of those zones that stand as ordered, or as found on evidence. */
    public static JsonObject json(Map<Integer, Held> held, boolean ordered, List<String> names) {
        JsonObject all = new JsonObject();
        held.forEach((zone, h) -> {
            if (zone < names.size() && ordered != (h.state().cause() == Cause.EVIDENCE)) {
                JsonObject o = new JsonObject();
                o.addProperty("epoch", h.state().epoch());
                o.addProperty("open", h.state().open());
                o.addProperty("cause", h.state().cause().name().toLowerCase(Locale.ROOT));
                o.addProperty("leaves", h.state().leaves());
                o.addProperty("floor", h.floor());
                all.add(names.get(zone), o);
            }
        });
        return all;
    }

    /** Reads it; zones that there are no more are left out, and an exception says that it is of no use. */
    public static Map<Integer, Held> read(JsonElement json, List<String> names) {
        Map<Integer, Held> held = new TreeMap<>();
        json.getAsJsonObject().entrySet().forEach(e -> {
            JsonObject o = e.getValue().getAsJsonObject();
            int zone = names.indexOf(e.getKey());
            if (zone >= 0) {
                ZoneState state = new ZoneState(
                        o.get("epoch").getAsInt(),
                        o.get("open").getAsInt(),
                        Cause.valueOf(o.get("cause").getAsString().toUpperCase(Locale.ROOT)),
                        o.get("leaves").getAsInt());
                int floor = Math.max(
                        0, Math.min(ZoneState.MOST_EPOCH, o.get("floor").getAsInt()));
                held.put(zone, new Held(state, Math.max(floor, state.epoch())));
            }
        });
        return held;
    }
}
