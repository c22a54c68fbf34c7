package cacheproxy.proxy;

import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ServiceClass;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The settings in force for requests to come, with service classes and tenants found by name. A reload replaces them;
 * requests that are open keep what they were accepted with. Event loop only.
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

    /** The index of a service class in the settings; null if there is none of the name. */
    Integer classIndex(String name) {
        return classIndexes.get(String.valueOf(name));
    }

    /** The index of a tenant; null if there is none of the name. Where none is configured or named, the first. */
    Integer tenantIndex(String name) {
        return tenantIndexes.isEmpty() || name == null ? Integer.valueOf(DEFAULT_TENANT) : tenantIndexes.get(name);
    }

    /** The longest deadline of any service class, in milliseconds. */
    double longestDeadlineMs() {
        return longestDeadlineMs;
    }
}
