package cacheproxy.control;

import cacheproxy.control.MetricSample.Kind;
import cacheproxy.drain.DrainStateMachine;
import cacheproxy.membership.View;
import cacheproxy.proxy.Proxy;
import cacheproxy.proxy.RuleCounts;
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
            Proxy.Status s = proxy.status();
            JsonObject o = new JsonObject();
            o.addProperty("name", proxy.name());
            o.addProperty("pid", ProcessHandle.current().pid());
            o.addProperty("up_s", (System.nanoTime() - startNanos) / 1_000_000_000L);
            o.addProperty("clients", s.clients());
            o.addProperty("owed", s.owed());
            o.addProperty("answered", s.answered());
            o.addProperty("upstream", s.upstream());
            o.addProperty("value_bytes", s.kept());
            o.addProperty("values_waiting", s.waiting());
            return o;
        });
        registry.section(HandoverCommand.SECTION, () -> {
            Proxy.Status s = proxy.status();
            JsonObject o = new JsonObject();
            o.addProperty("phase", s.handover().statusName());
            o.addProperty("successors", s.handovers());
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
        registry.section("list", () -> list(proxy.list()));
        registry.section("rules", () -> rules(proxy.ruleCounts()));
        registry.section("view", () -> view(proxy.fleetView()));
        registry.command("view", arguments -> members(proxy.fleetView()));
        ZoneControl.register(registry, proxy::zones);
        RecoveryReport.register(registry, proxy::recovering);
        return registry;
    }

    private static JsonObject list(Proxy.ListStatus list) {
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

    private static List<MetricSample> figures(Proxy.Status s, RuleCounts rules) {
        List<MetricSample> figures = new ArrayList<>();
        s.classes().forEach((name, c) -> {
            figures.add(new MetricSample("succeeded." + name, Kind.COUNT, c.succeeded()));
            figures.add(new MetricSample("declined." + name, Kind.COUNT, c.declined()));
            figures.add(new MetricSample("aborted." + name, Kind.COUNT, c.aborted()));
        });
        figures.add(new MetricSample("forwards", Kind.COUNT, s.forwards()));
        figures.add(new MetricSample("outstanding", Kind.GAUGE, s.owed()));
        figures.add(new MetricSample("discovered", Kind.GAUGE, s.discovered()));
        figures.add(new MetricSample("ejected", Kind.GAUGE, s.ejected()));
        figures.add(new MetricSample("sighup_applied", Kind.COUNT, s.applied()));
        figures.add(new MetricSample("sighup_rejected", Kind.COUNT, s.rejected()));
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

    private static JsonObject view(Proxy.FleetView f) {
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
        o.addProperty("refuted_deaths", f.refuted());
        o.addProperty("unreadable", f.unreadable());
        o.addProperty("over_budget", f.dropped());
        return o;
    }

    /** A row for each that is known, the first {@link #MAX_MEMBERS}. */
    private static JsonObject members(Proxy.FleetView f) {
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
