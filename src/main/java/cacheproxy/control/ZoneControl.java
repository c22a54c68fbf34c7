package cacheproxy.control;

import cacheproxy.failover.Zones;
import cacheproxy.proxy.FleetZones;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.function.Supplier;

/** What operators ask and order of zones: the section {@code zones} of the status, and the command {@code zone}. */
final class ZoneControl {
    private final Supplier<FleetZones> zones;

    private ZoneControl(Supplier<FleetZones> zones) {
        this.zones = zones;
    }

    /** {@code zones}: null where this proxy decides nothing of zones. */
    static void register(ControlRegistry registry, Supplier<FleetZones> zones) {
        ZoneControl call = new ZoneControl(zones);
        registry.section("zones", call::status);
        registry.command("zone", call::run);
    }

    private JsonObject status() {
        FleetZones z = zones.get();
        JsonObject o = new JsonObject();
        o.addProperty("kept", z != null);
        if (z == null) {
            return o;
        }
        o.addProperty("quorum", z.quorum());
        o.addProperty("decided", z.decided());
        JsonArray rows = new JsonArray();
        z.status().forEach(s -> rows.add(row(z, s)));
        o.add("zones", rows);
        return o;
    }

    private static JsonObject row(FleetZones z, Zones.Status s) {
        JsonObject row = new JsonObject();
        row.addProperty("zone", z.name(s.zone()));
        row.addProperty("open", Math.round(1000 * s.open()) / 1000.0);
        row.addProperty("epoch", s.state().epoch());
        row.addProperty("cause", AnswerWords.of(s.state().cause()));
        row.addProperty("leaves", s.state().leaves());
        row.addProperty("sight", AnswerWords.of(s.sight()));
        row.addProperty("verdict", s.verdict());
        if (s.sinceMs() < Double.POSITIVE_INFINITY) {
            row.addProperty("since_s", Math.round(s.sinceMs() / 100) / 10.0);
        }
        row.addProperty("why", s.why());
        return row;
    }

    private JsonObject run(JsonObject arguments) {
        FleetZones z = zones.get();
        if (z == null) {
            throw new IllegalArgumentException(
                    "this proxy decides nothing of zones; it was started without --zones on");
        }
        String zone = text(arguments, "zone");
        switch (text(arguments, "order")) {
            case "leave" -> z.leave(zone, arguments.has("over_ms") ? ControlRegistry.number(arguments, "over_ms") : 0);
            case "return" -> z.comeBack(zone);
            case "hold" -> z.hold(zone);
            case "release" -> z.release(zone);
            case "cost" -> {
                return cost(z.cost(zone));
            }
            default -> throw new IllegalArgumentException("'order' is to be leave, return, hold, release or cost");
        }
        return status();
    }

    private static JsonObject cost(Zones.Cost c) {
        JsonObject o = new JsonObject();
        o.addProperty("moved_per_second", Math.round(10 * c.movedPerSecond()) / 10.0);
        if (c.othersTimes() < Double.POSITIVE_INFINITY) {
            o.addProperty("others_times", Math.round(100 * c.othersTimes()) / 100.0);
        }
        o.addProperty("allowed", c.allowed());
        return o;
    }

    private static String text(JsonObject arguments, String name) {
        JsonElement e = arguments.get(name);
        if (e == null || !e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString()) {
            throw new IllegalArgumentException("'" + name + "' is to be a word");
        }
        return e.getAsString();
    }
}
