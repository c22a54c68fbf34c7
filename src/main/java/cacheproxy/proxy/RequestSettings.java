package cacheproxy.proxy;

import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ServiceClass;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The settings in force for new requests, with an index of service classes and tenants by name. A reload replaces them;
 * open requests keep the settings that they were accepted with. Event loop only.
 */
final class RequestSettings {
    private static final int DEFAULT_TENANT = 0;

    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Integer> tenantIndexes = new HashMap<>();
    private Config config;
    private RoutingSettings routing;
    private double longestDeadlineMs;

    RequestSettings(Config config) {
        apply(config);
    }

    void apply(Config next) {
        config = next;
        routing = next.settings();
        classIndexes.clear();
        routing.classes().forEach(c -> classIndexes.put(c.name(), classIndexes.size()));
        tenantIndexes.clear();
        routing.tenants().forEach(t -> tenantIndexes.put(t.name(), tenantIndexes.size()));
        longestDeadlineMs = routing.classes().stream()
                .mapToDouble(ServiceClass::timeoutMs)
                .max()
                .orElse(0);
    }

    Config config() {
        return config;
    }

    RoutingSettings routing() {
        return routing;
    }

    Set<String> classNames() {
        return classIndexes.keySet();
    }

    /** The index of a service class in the settings; null if no class has this name. */
    Integer classIndex(String name) {
        return classIndexes.get(String.valueOf(name));
    }

    /** The index of a tenant; null if no tenant has this name. If none are configured or {@code name} is null, 0. */
    Integer tenantIndex(String name) {
        return tenantIndexes.isEmpty() || name == null ? Integer.valueOf(DEFAULT_TENANT) : tenantIndexes.get(name);
    }

    /** The longest timeout of any service class, in milliseconds. */
    double longestDeadlineMs() {
        return longestDeadlineMs;
    }
}
