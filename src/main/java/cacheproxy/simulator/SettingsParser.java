package cacheproxy.simulator;

import cacheproxy.routing.DeduplicationScope;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.LoadReportSource;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ServiceClass;
import cacheproxy.routing.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Parses an instance's settings from pairs of path and value, with the names of the operators' settings pages. Unknown
 * paths are ignored. A {@link MalformedInputException} names the path of a missing or invalid setting. Settings whose
 * name differs in the code:
 *
 * <pre>
 * path                         value                       in code
 * me, balancers, locality      numbers                     instanceIndex, instanceCount, zone
 * discovery                    push, ask                   pollsDiscovery false, true
 * value-by                     request, work               priorityByWork false, true
 * over-share-worth             0 to 1                      overQuotaPriorityWeight
 * report.how                   silent, piggyback, pull     LoadReportSource NONE, WITH_RESPONSES, BY_HEALTH_CHECK
 * caps.may-cancel, may-probe   false, true                 cancellationAllowed, healthChecksAllowed
 * caps.peers, second-copies    false, true                 peerMessagesAllowed, hedgingAllowed
 * guarantees.grace-to-answer   milliseconds                finalAnswerGraceMs
 * guarantees.start-capacity    0 to 1                      initialCapacity
 * guarantees.tip-multiple      multiple of the capacity    overloadMultiple
 * guarantees.fall              milliseconds                overloadWindowMs
 * guarantees.ask-within        milliseconds                pollIntervalMs
 * extra.mode                   through, aside              cacheAside false, true
 * extra.origin-fall-multiple   multiple of the capacity    originOverloadMultiple
 * extra.origin-fall            milliseconds                originOverloadWindowMs
 * classes.N.idempotency        retryable, dedup, fragile   Idempotency IDEMPOTENT, KEYED, NON_IDEMPOTENT
 * classes.N.group, window      all, zone, cell; ms         DeduplicationScope ALL, ZONE, CELL; deduplicationWindowMs
 * classes.N.promise            milliseconds                latencyObjectiveMs
 * classes.N.gain, late-share   numbers                     priorityWeight, lateValueShare
 * classes.N.stream             false, true                 streamed
 * tenants.N.fraction           0 to 1                      share
 * tenants.N.quota-per-s        requests per second         quotaPerSecond
 * </pre>
 */
public final class SettingsParser {
    private final Map<String, String> values;

    /**
     * Creates a parser.
     *
     * @param values the values by path, in the form of the proxy's flattened configuration
     */
    public SettingsParser(Map<String, String> values) {
        this.values = values;
    }

    /** Creates a parser of {@code path=value} lines, as sent by the simulator. */
    static SettingsParser ofLines(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                values.put(
                        line.substring(0, separator).trim(),
                        line.substring(separator + 1).trim());
            }
        }
        return new SettingsParser(values);
    }

    /**
     * Returns all settings.
     *
     * @throws MalformedInputException if a setting is missing or invalid; the message contains its path
     */
    public RoutingSettings settings() {
        List<String> zones = list("zones");
        List<String> kinds = list("kinds");
        return new RoutingSettings(
                integer("me"),
                integer("balancers"),
                integer("locality"),
                zones.size(),
                kinds.size(),
                oneOf("discovery", "push", "ask") == 1,
                values.containsKey("extra.mode") && oneOf("extra.mode", "through", "aside") == 1,
                (int) number("extra.origin-kind", -1),
                oneOf("report.how", LoadReportSource.values(), LoadReportSource::wireName),
                list("report.names"),
                oneOf("value-by", "request", "work") == 1,
                number("over-share-worth", 1),
                flag("caps.may-cancel"),
                flag("caps.may-probe"),
                flag("caps.peers"),
                flag("caps.second-copies"),
                flag("caps.retry-after"),
                (int) positive("caps.max-attempts", 1),
                number("caps.max-retry-after", 0),
                number("caps.connect-timeout"),
                number("guarantees.drain-grace"),
                number("guarantees.grace-to-answer"),
                number("guarantees.start-capacity"),
                number("guarantees.warm-up"),
                number("guarantees.tip-multiple"),
                number("guarantees.fall"),
                number("guarantees.ask-within", 0),
                number("extra.origin-fall-multiple", 0),
                number("extra.origin-fall", 0),
                classes(),
                tenants());
    }

    private List<ServiceClass> classes() {
        if (integer("classes.count") < 1) {
            throw new MalformedInputException("settings contain no class");
        }
        List<ServiceClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (int i = 0; i < integer("classes.count"); i++) {
            String path = "classes." + i + ".";
            String name = text(path + "name");
            if (name.isEmpty() || !names.add(name)) {
                throw new MalformedInputException("setting '" + path + "name' is empty or not unique: " + name);
            }
            classes.add(serviceClass(path, name));
        }
        return classes;
    }

    private ServiceClass serviceClass(String path, String name) {
        Idempotency idempotency = oneOf(path + "idempotency", Idempotency.values(), Idempotency::wireName);
        boolean keyed = idempotency == Idempotency.KEYED; // group and window of other classes are ignored
        return new ServiceClass(
                name,
                idempotency,
                keyed
                        ? oneOf(path + "group", DeduplicationScope.values(), DeduplicationScope::wireName)
                        : DeduplicationScope.ALL,
                keyed ? number(path + "window") : 0,
                positive(path + "promise", 0),
                positive(path + "deadline", 0),
                number(path + "gain", 1),
                number(path + "late-share", 0),
                flag(path + "stream"));
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < (int) number("tenants.count", 0); i++) {
            String path = "tenants." + i + ".";
            tenants.add(new Tenant(text(path + "name"), number(path + "fraction", 0), number(path + "quota-per-s", 0)));
        }
        return tenants;
    }

    private String text(String key) {
        String value = values.get(key);
        if (value == null) {
            throw new MalformedInputException("setting '" + key + "' is missing");
        }
        return value;
    }

    private double number(String key) {
        try {
            double value = Double.parseDouble(text(key));
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below with the key
        }
        throw new MalformedInputException("setting '" + key + "' is not a finite number: " + values.get(key));
    }

    /**
     * Returns a number.
     *
     * @param defaultValue the value to return if the key is absent
     * @throws MalformedInputException if the value is not a finite number
     */
    public double number(String key, double defaultValue) {
        return values.containsKey(key) ? number(key) : defaultValue;
    }

    /** Returns a number above 0 that is at least {@code minimum}. */
    private double positive(String key, double minimum) {
        double value = number(key);
        if (!(value > 0 && value >= minimum)) {
            throw new MalformedInputException(
                    "setting '" + key + "' is not above 0 or is too small: " + values.get(key));
        }
        return value;
    }

    private int integer(String key) {
        return (int) number(key);
    }

    private boolean flag(String key) {
        return oneOf(key, "false", "true") == 1;
    }

    /** Returns a list of plain values; empty if the key is absent. */
    public List<String> list(String key) {
        String value = values.getOrDefault(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private <E> E oneOf(String key, E[] constants, Function<E, String> wireName) {
        return constants[oneOf(key, Stream.of(constants).map(wireName).toArray(String[]::new))];
    }

    private int oneOf(String key, String... allowed) {
        int index = List.of(allowed).indexOf(text(key));
        if (index < 0) {
            throw new MalformedInputException(
                    "setting '" + key + "' is not one of " + String.join(", ", allowed) + ": " + text(key));
        }
        return index;
    }
}
