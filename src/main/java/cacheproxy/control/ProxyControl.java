package cacheproxy.control;

import cacheproxy.control.MetricSample.Kind;
import cacheproxy.drain.DrainStateMachine;
import cacheproxy.membership.View;
import cacheproxy.proxy.RuleCounts;
import cacheproxy.proxy.lifecycle.EndpointListStatus;
import cacheproxy.proxy.lifecycle.FleetViewStatus;
import cacheproxy.proxy.lifecycle.Proxy;
import cacheproxy.proxy.lifecycle.ProxyStatus;
import cacheproxy.route.Router;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Hangs a proxy's own status, its figures and its drain on what operators ask by. */
public final class ProxyControl {
    /** Of pools, and of the routes with most requests. */
    private static final int MAX_SHOWN = 50;
    /**
     * Of instances in the view: some 120 bytes each, under what the control socket keeps for one that does not read.
     */
    private static final int MAX_MEMBERS = 2048;

    private ProxyControl() {}

    /** What can be asked of this proxy, by whatever way. */
    public static ControlRegistry registry(Proxy proxy) {
        ControlRegistry registry = new ControlRegistry();
        long startNanos = System.nanoTime();
        registry.section("proxy", () -> {
            ProxyStatus s = proxy.status();
            JsonObject o = new JsonObject();
            o.addProperty("name", proxy.name());
            o.addProperty("pid", ProcessHandle.current().pid());
            o.addProperty("up_s", (System.nanoTime() - startNanos) / 1_000_000_000L);
            o.addProperty("clients", s.clientConnections());
            o.addProperty("owed", s.openRequests());
            o.addProperty("answered", s.completedRequests());
            o.addProperty("upstream", s.upstreamConnections());
            o.addProperty("value_bytes", s.valueBytes());
            o.addProperty("values_waiting", s.waitingValues());
            return o;
        });
        registry.section(HandoverCommand.SECTION, () -> {
            ProxyStatus s = proxy.status();
            JsonObject o = new JsonObject();
            o.addProperty("phase", s.handoverPhase().statusName());
            o.addProperty("successors", s.completedHandovers());
            return o;
        });
        if (proxy.router() != null) {
            registry.section("routing", () -> routing(proxy.router()));
        }
        registry.section("drain", () -> progress(proxy.drainProgress()));
        registry.command("drain", arguments -> {
            DrainStateMachine.StartResult begun = proxy.drain(ControlRegistry.number(arguments, "deadline_ms"));
            JsonObject o = progress(proxy.drainProgress());
            o.addProperty("already", begun.alreadyDraining());
            o.addProperty("words", begun.message());
            return o;
        });
        registry.command("drain-cancel", arguments -> {
            String why = proxy.cancelDrain();
            if (why != null) {
                throw new IllegalArgumentException(why);
            }
            return progress(proxy.drainProgress());
        });
        registry.figures(() -> figures(proxy.status(), proxy.ruleCounts()));
        registry.section("list", () -> list(proxy.endpointListStatus()));
        registry.section("rules", () -> rules(proxy.ruleCounts()));
        registry.section("view", () -> view(proxy.fleetView()));
        registry.command("view", arguments -> members(proxy.fleetView()));
        ZoneControl.register(registry, proxy::zoneDecisions);
        RecoveryReport.register(registry, proxy::recoveryStatus);
        return registry;
    }

    private static JsonObject list(EndpointListStatus list) {
        JsonObject o = new JsonObject();
        o.addProperty("version", list.version());
        if (!Double.isNaN(list.ageMs())) {
            o.addProperty("age_ms", Math.round(list.ageMs()));
        }
        return o;
    }

    private static JsonObject rules(RuleCounts counts) {
        JsonObject o = new JsonObject();
        o.add("forbidden", counts(counts.forbidden()));
        o.add("breaches", counts(counts.violations()));
        return o;
    }

    private static JsonObject counts(Map<String, Long> byKey) {
        JsonObject o = new JsonObject();
        new TreeMap<>(byKey).forEach(o::addProperty);
        return o;
    }

    private static List<MetricSample> figures(ProxyStatus s, RuleCounts rules) {
        List<MetricSample> figures = new ArrayList<>();
        s.outcomesByClass().forEach((name, c) -> {
            figures.add(new MetricSample("succeeded." + name, Kind.COUNT, c.succeeded()));
            figures.add(new MetricSample("declined." + name, Kind.COUNT, c.rejected()));
            figures.add(new MetricSample("aborted." + name, Kind.COUNT, c.failed()));
        });
        figures.add(new MetricSample("forwards", Kind.COUNT, s.forwardedAttempts()));
        figures.add(new MetricSample("outstanding", Kind.GAUGE, s.openRequests()));
        figures.add(new MetricSample("discovered", Kind.GAUGE, s.discoveredNodes()));
        figures.add(new MetricSample("ejected", Kind.GAUGE, s.ejectedNodes()));
        figures.add(new MetricSample("sighup_applied", Kind.COUNT, s.reloadsApplied()));
        figures.add(new MetricSample("sighup_rejected", Kind.COUNT, s.reloadsRejected()));
        new TreeMap<>(rules.forbidden())
                .forEach((key, count) -> figures.add(new MetricSample("forbidden." + key, Kind.COUNT, count)));
        new TreeMap<>(rules.violations())
                .forEach((key, count) -> figures.add(new MetricSample("breaches." + key, Kind.COUNT, count)));
        return figures;
    }

    private static JsonObject routing(Router router) {
        JsonObject o = new JsonObject();
        o.addProperty("version", router.version());
        o.addProperty("hash", router.routing().hash());
        JsonArray pools = new JsonArray();
        router.pools().stream().limit(MAX_SHOWN).forEach(p -> {
            JsonObject pool = new JsonObject();
            pool.addProperty("pool", p.name().isEmpty() ? "all servers" : p.name());
            pool.addProperty("servers", p.servers());
            pool.addProperty("open", p.open());
            if (p.leaving()) {
                pool.addProperty("leaving", true);
            }
            pools.add(pool);
        });
        o.add("pools", pools);
        JsonArray routes = new JsonArray();
        router.routes().stream()
                .sorted(Comparator.comparingLong(Router.RouteStatus::requests).reversed())
                .limit(MAX_SHOWN)
                .forEach(r -> {
                    JsonObject route = new JsonObject();
                    route.addProperty("route", r.name().isEmpty() ? "no route" : r.name());
                    route.addProperty("requests", r.requests());
                    route.addProperty("fallbacks", r.fallbacks());
                    route.addProperty("turned_away", r.turnedAway());
                    route.addProperty("held_back", r.heldBack());
                    routes.add(route);
                });
        o.add("routes", routes);
        return o;
    }

    private static JsonObject view(FleetViewStatus f) {
        JsonObject o = new JsonObject();
        o.addProperty("kept", f != null);
        if (f == null) {
            return o;
        }
        View v = f.view();
        o.addProperty("hearing", AnswerWords.of(v.hearing()));
        o.addProperty("living", v.living().count());
        o.addProperty("known", v.entries().size());
        if (v.configured() != null) {
            o.addProperty("configured", v.configured().count());
        }
        o.addProperty("digest", String.format("%08x", v.digest()));
        o.addProperty("disputed", v.disputed());
        o.addProperty("refuted_deaths", f.refutedDeaths());
        o.addProperty("unreadable", f.unreadableMessages());
        o.addProperty("over_budget", f.droppedDatagrams());
        return o;
    }

    /** A row for each that is known, the first {@link #MAX_MEMBERS}. */
    private static JsonObject members(FleetViewStatus f) {
        if (f == null) {
            throw new IllegalArgumentException(
                    "this proxy keeps no view of the fleet; it was started without --view on");
        }
        JsonObject o = view(f);
        JsonArray rows = new JsonArray();
        f.view().entries().stream().limit(MAX_MEMBERS).forEach(e -> {
            JsonObject row = new JsonObject();
            row.addProperty("instance", e.id());
            row.addProperty("zone", e.zone());
            row.addProperty("state", AnswerWords.of(e.state()));
            row.addProperty("phase", AnswerWords.of(e.phase()));
            row.addProperty("incarnation", e.incarnation());
            row.addProperty("life", String.format("%04x", e.life()));
            row.addProperty("version", e.version());
            rows.add(row);
        });
        o.add("members", rows);
        return o;
    }

    private static JsonObject progress(DrainStateMachine.Progress p) {
        JsonObject o = new JsonObject();
        o.addProperty("phase", p.phase().statusName());
        o.addProperty("share", p.completedFraction());
        o.addProperty("owed", p.unanswered());
        o.addProperty("connections", p.connections());
        o.addProperty("left_ms", Math.round(p.remainingMs()));
        o.addProperty("deadline_left_ms", Math.round(p.deadlineRemainingMs()));
        o.addProperty("drains", p.drainCount());
        o.addProperty("cancels", p.cancelCount());
        return o;
    }
}
