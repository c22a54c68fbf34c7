package cacheproxy.control;

import cacheproxy.membership.Member;
import cacheproxy.membership.MembershipView;
import cacheproxy.proxy.lifecycle.FleetViewStatus;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.function.Supplier;

/** The section {@code view} of the status, and the command {@code view} that shows each member of the fleet. */
final class FleetViewControl {
    /**
     * The maximum number of members shown: at about 120 bytes each, they fit into the control socket's write buffer.
     */
    private static final int MAX_MEMBERS = 2048;

    private FleetViewControl() {}

    /** {@code view}: supplies null if this proxy does not take part in the membership view. */
    static void register(ControlRegistry registry, Supplier<FleetViewStatus> view) {
        registry.section("view", () -> summary(view.get()));
        registry.command("view", arguments -> members(view.get()));
    }

    private static JsonObject summary(FleetViewStatus fleet) {
        JsonObject json = new JsonObject();
        json.addProperty("kept", fleet != null);
        if (fleet == null) {
            return json;
        }
        MembershipView view = fleet.view();
        json.addProperty("hearing", StatusNames.of(view.reachability()));
        json.addProperty("living", view.liveMembers().count());
        json.addProperty("known", view.members().size());
        if (view.configuredMembers() != null) {
            json.addProperty("configured", view.configuredMembers().count());
        }
        json.addProperty("digest", String.format("%08x", view.digest()));
        json.addProperty("disputed", view.disputed());
        json.addProperty("refuted_deaths", fleet.refutedDeaths());
        json.addProperty("unreadable", fleet.unreadableMessages());
        json.addProperty("over_budget", fleet.droppedDatagrams());
        return json;
    }

    private static JsonObject members(FleetViewStatus fleet) {
        if (fleet == null) {
            throw new CommandException("this proxy keeps no view of the fleet; it was started without --view on");
        }
        JsonObject json = summary(fleet);
        JsonArray rows = new JsonArray();
        fleet.view().members().stream().limit(MAX_MEMBERS).forEach(member -> rows.add(row(member)));
        json.add("members", rows);
        return json;
    }

    private static JsonObject row(Member member) {
        JsonObject row = new JsonObject();
        row.addProperty("instance", member.id());
        row.addProperty("zone", member.zone());
        row.addProperty("state", StatusNames.of(member.state()));
        row.addProperty("phase", StatusNames.of(member.phase()));
        row.addProperty("incarnation", member.incarnation());
        row.addProperty("life", String.format("%04x", member.processNonce()));
        row.addProperty("version", member.version());
        return row;
    }
}
