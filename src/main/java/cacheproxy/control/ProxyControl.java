package cacheproxy.control;

import cacheproxy.proxy.RuleCounts;
import cacheproxy.proxy.lifecycle.EndpointListStatus;
import cacheproxy.proxy.lifecycle.Proxy;
import cacheproxy.proxy.lifecycle.ProxyStatus;
import com.google.gson.JsonObject;
import java.util.Map;
import java.util.TreeMap;

/**
 * Registers the commands, status sections and metrics of a running proxy, for the control socket and the admin port.
 */
public final class ProxyControl {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private ProxyControl() {}

    /** The commands, status sections and metrics of this proxy. */
    public static ControlRegistry registry(Proxy proxy) {
        ControlRegistry registry = new ControlRegistry();
        long startNanos = System.nanoTime();
        registry.section("proxy", () -> process(proxy, (System.nanoTime() - startNanos) / NANOS_PER_SECOND));
        registry.section(HandoverCommand.SECTION, () -> handover(proxy.status()));
        if (proxy.router() != null) {
            registry.section("routing", () -> RoutingSection.toJson(proxy.router()));
        }
        DrainControl.register(registry, proxy);
        TraceControl.register(registry, id -> proxy.requestTrace().of(id));
        registry.metrics(() -> ProxyMetrics.samples(proxy.status(), proxy.ruleCounts()));
        registry.section("list", () -> endpointList(proxy.endpointListStatus()));
        registry.section("rules", () -> ruleCounts(proxy.ruleCounts()));
        FleetViewControl.register(registry, proxy::fleetView);
        ZoneControl.register(registry, proxy::zoneDecisions);
        RecoverySection.register(registry, proxy::recoveryStatus);
        return registry;
    }

    private static JsonObject process(Proxy proxy, long upSeconds) {
        ProxyStatus status = proxy.status();
        JsonObject section = new JsonObject();
        section.addProperty("name", proxy.name());
        section.addProperty("pid", ProcessHandle.current().pid());
        section.addProperty("up_s", upSeconds);
        section.addProperty("clients", status.clientConnections());
        section.addProperty("owed", status.openRequests());
        section.addProperty("answered", status.completedRequests());
        section.addProperty("upstream", status.upstreamConnections());
        section.addProperty("value_bytes", status.valueBytes());
        section.addProperty("values_waiting", status.waitingValues());
        return section;
    }

    private static JsonObject handover(ProxyStatus status) {
        JsonObject section = new JsonObject();
        section.addProperty("phase", status.handoverPhase().statusName());
        section.addProperty("successors", status.completedHandovers());
        return section;
    }

    private static JsonObject endpointList(EndpointListStatus list) {
        JsonObject section = new JsonObject();
        section.addProperty("version", list.version());
        if (!Double.isNaN(list.ageMs())) {
            section.addProperty("age_ms", Math.round(list.ageMs()));
        }
        return section;
    }

    private static JsonObject ruleCounts(RuleCounts counts) {
        JsonObject section = new JsonObject();
        section.add("forbidden", sorted(counts.forbidden()));
        section.add("breaches", sorted(counts.violations()));
        return section;
    }

    private static JsonObject sorted(Map<String, Long> counts) {
        JsonObject json = new JsonObject();
        new TreeMap<>(counts).forEach(json::addProperty);
        return json;
    }
}
