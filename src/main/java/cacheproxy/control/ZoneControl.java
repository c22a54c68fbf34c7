package cacheproxy.control;

import cacheproxy.failover.ZoneLeaveCost;
import cacheproxy.failover.ZoneStatus;
import cacheproxy.proxy.ZoneOperations;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.function.Supplier;

/** The section {@code zones} of the status, and the command {@code zone} for operators' orders on zones. */
final class ZoneControl {
    private static final String ZONE = "zone";
    private static final String ORDER = "order";
    private static final String DURATION = "over_ms";

    private final Supplier<ZoneOperations> zones;

    private ZoneControl(Supplier<ZoneOperations> zones) {
        this.zones = zones;
    }

    /** {@code zones}: supplies null if this proxy takes no part in zone decisions. */
    static void register(ControlRegistry registry, Supplier<ZoneOperations> zones) {
        ZoneControl control = new ZoneControl(zones);
        registry.section("zones", control::status);
        registry.command("zone", control::run);
    }

    private JsonObject status() {
        ZoneOperations fleetZones = zones.get();
        JsonObject section = new JsonObject();
        section.addProperty("kept", fleetZones != null);
        if (fleetZones == null) {
            return section;
        }
        section.addProperty("quorum", fleetZones.hasQuorum());
        section.addProperty("decided", fleetZones.decisionCount());
        JsonArray rows = new JsonArray();
        fleetZones.status().forEach(status -> rows.add(row(fleetZones.zoneName(status.zone()), status)));
        section.add("zones", rows);
        return section;
    }

    private static JsonObject row(String zone, ZoneStatus status) {
        JsonObject row = new JsonObject();
        row.addProperty("zone", zone);
        row.addProperty("open", Math.round(1000 * status.trafficFraction()) / 1000.0);
        row.addProperty("epoch", status.state().epoch());
        row.addProperty("cause", StatusNames.of(status.state().cause()));
        row.addProperty("leaves", status.state().leaveCount());
        row.addProperty("sight", StatusNames.of(status.ownHealth()));
        row.addProperty("verdict", status.fleetVerdict());
        if (status.unchangedMs() < Double.POSITIVE_INFINITY) {
            row.addProperty("since_s", Math.round(status.unchangedMs() / 100) / 10.0);
        }
        row.addProperty("why", status.reason());
        return row;
    }

    private JsonObject run(CommandArguments arguments) {
        ZoneOperations fleetZones = zones.get();
        if (fleetZones == null) {
            throw new CommandException("this proxy decides nothing of zones; it was started without --zones on");
        }
        String zone = arguments.text(ZONE);
        switch (arguments.text(ORDER)) {
            case "leave" -> fleetZones.leave(zone, arguments.has(DURATION) ? arguments.number(DURATION) : 0);
            case "return" -> fleetZones.returnTo(zone);
            case "hold" -> fleetZones.hold(zone);
            case "release" -> fleetZones.release(zone);
            case "cost" -> {
                return cost(fleetZones.leaveCost(zone));
            }
            default -> throw new CommandException("'order' is to be leave, return, hold, release or cost");
        }
        return status();
    }

    private static JsonObject cost(ZoneLeaveCost cost) {
        JsonObject result = new JsonObject();
        result.addProperty("moved_per_second", Math.round(10 * cost.movedPerSecond()) / 10.0);
        if (cost.otherZonesLoadFactor() < Double.POSITIVE_INFINITY) {
            result.addProperty("others_times", Math.round(100 * cost.otherZonesLoadFactor()) / 100.0);
        }
        result.addProperty("allowed", cost.allowed());
        return result;
    }
}
