package cacheproxy.proxy.discovery;

import cacheproxy.route.EndpointAttributes;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.zip.CRC32;

/**
 * Decodes and encodes endpoint lists in discovery's JSON. Its fields and the corresponding terms of this code:
 *
 * <pre>
 * list      seq       version            an integer from 0 to 2^53
 *           whole     snapshot           true or false
 *           hosts     entries
 * entry     host      host, endpoint id  the id is derived from the host's name
 *           dial      address            IP:PORT
 *           site      zone               one that the settings name
 *           class     kind               one that the settings name
 *           block     cell               an integer; 0 if absent
 *           health    state              up: READY, draining: DRAINING, removed: REMOVED
 *           share     weight             0 or more; 1 if absent
 *           born_ms   start time         Unix time in milliseconds; 0, the default, means long ago
 *           labels    labels             strings, 64 at most; none if absent
 * </pre>
 *
 * <p>Other fields are ignored. Instances are immutable.
 */
public final class EndpointListCodec {
    private static final int MAX_LABELS = 64;
    /** The limit of the integers that every JSON parser represents exactly, as doubles do. */
    private static final double MAX_VERSION = 1L << 53;

    private static final int MAX_ID_DIGITS = 8;
    private static final String REMOVED = "removed";

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Integer> zoneNumbers;
    private final Map<String, Integer> kindNumbers;

    /**
     * Creates a codec for lists with these zones and kinds of machine, named as by {@link #settingsName}; the load
     * balancer refers to them by their indexes here.
     */
    public EndpointListCodec(List<String> zones, List<String> kinds) {
        this.zones = List.copyOf(zones);
        this.kinds = List.copyOf(kinds);
        zoneNumbers = numbers(this.zones);
        kindNumbers = numbers(this.kinds);
    }

    private static Map<String, Integer> numbers(List<String> names) {
        Map<String, Integer> numbers = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            numbers.putIfAbsent(names.get(i), i);
        }
        return numbers;
    }

    /** Converts a name of discovery to the form of the settings, which list several names on one line. */
    public static String settingsName(String name) {
        return name.replace(' ', '_').replace(',', '_');
    }

    /**
     * Decodes a response. An invalid entry is ignored and reported in {@link DecodedList#errors}. If it names no host,
     * it may belong to any, so the list does not count as complete. If a host is listed twice, the more restrictive
     * entry is used.
     *
     * @throws JsonParseException if it is not an endpoint list, or has entries of which none is valid
     * @throws IllegalArgumentException if a field of the list itself has the wrong type
     */
    DecodedList decode(JsonElement json) {
        JsonObject list = list(json);
        long version = version(list);
        boolean complete = field("endpoint list", list, "whole", "true or false", JsonElement::getAsBoolean);
        DecodedList decoded = decodeEntries(version, complete, list.getAsJsonArray("hosts"));
        if (decoded.endpoints().isEmpty() && !decoded.errors().isEmpty()) {
            throw new InvalidEndpointListException(decoded.errors().get(0));
        }
        return decoded;
    }

    /**
     * Decodes all entries of a list.
     *
     * @throws IllegalArgumentException for the first invalid entry; its message is the reason
     */
    public List<DiscoveredEndpoint> decodeAll(JsonObject json) {
        DecodedList decoded = decodeEntries(0, true, list(json).getAsJsonArray("hosts"));
        if (!decoded.errors().isEmpty()) {
            throw new InvalidFieldException("endpoint list", decoded.errors().get(0));
        }
        return decoded.endpoints();
    }

    private static JsonObject list(JsonElement json) {
        if (!json.isJsonObject()
                || !json.getAsJsonObject().has("hosts")
                || !json.getAsJsonObject().get("hosts").isJsonArray()) {
            throw new InvalidEndpointListException("no endpoint list: expected an object with an array 'hosts'");
        }
        return json.getAsJsonObject();
    }

    /**
     * The version of a list.
     *
     * @throws JsonParseException if it is not an integer from 0 to 2^53
     */
    static long version(JsonObject list) {
        JsonElement seq = list.get("seq");
        double version = seq != null && seq.isJsonPrimitive()
                ? field("endpoint list", list, "seq", "a number", JsonElement::getAsDouble)
                : Double.NaN;
        if (!(version >= 0) || version > MAX_VERSION || version != Math.rint(version)) {
            throw new InvalidEndpointListException(
                    "endpoint list: field 'seq': expected a whole number from 0 to 2^53, got " + seq);
        }
        return (long) version;
    }

    private DecodedList decodeEntries(long version, boolean complete, JsonArray entries) {
        Map<String, DiscoveredEndpoint> endpoints = new LinkedHashMap<>();
        Map<String, JsonObject> rawEntries = new LinkedHashMap<>();
        Set<String> rejectedHosts = new HashSet<>();
        List<String> errors = new ArrayList<>();
        boolean anonymousEntry = false;
        for (JsonElement entry : entries) {
            String host = hostName(entry);
            try {
                DiscoveredEndpoint endpoint = decodeEntry(entry);
                DiscoveredEndpoint other = endpoints.get(host);
                if (other != null) {
                    errors.add("host " + host + " is listed twice");
                }
                if (other == null || other.endpoint().state() == EndpointState.READY) {
                    endpoints.put(host, endpoint);
                    rawEntries.put(host, entry.getAsJsonObject());
                }
            } catch (InvalidFieldException e) {
                errors.add(e.getMessage());
                anonymousEntry |= host == null;
                if (host != null) {
                    rejectedHosts.add(host);
                }
            }
        }
        rejectedHosts.removeAll(endpoints.keySet());
        return new DecodedList(
                version,
                complete && !anonymousEntry,
                List.copyOf(endpoints.values()),
                rawEntries,
                rejectedHosts,
                errors);
    }

    /** The host that an entry names; null if it names none. */
    private static String hostName(JsonElement entry) {
        if (!entry.isJsonObject() || !entry.getAsJsonObject().has("host")) {
            return null;
        }
        JsonElement host = entry.getAsJsonObject().get("host");
        return host.isJsonPrimitive() ? host.getAsString() : null;
    }

    private DiscoveredEndpoint decodeEntry(JsonElement json) {
        if (!json.isJsonObject()) {
            throw new InvalidFieldException("an entry without a host", "expected an object, got " + json);
        }
        JsonObject entry = json.getAsJsonObject();
        String host = field("an entry without a host", entry, "host", "a text", JsonElement::getAsString);
        String subject = "host " + host;
        EndpointState state = state(subject, text(subject, entry, "health"));
        String site = text(subject, entry, "site");
        String machine = text(subject, entry, "class");
        int zone = zoneNumbers.getOrDefault(settingsName(site), -1);
        int kind = kindNumbers.getOrDefault(settingsName(machine), -1);
        float weight = entry.has("share") ? field(subject, entry, "share", "a number", JsonElement::getAsFloat) : 1;
        if (zone < 0 || kind < 0 || !(weight >= 0) || Float.isInfinite(weight)) {
            throw new InvalidFieldException(
                    subject,
                    "unknown site or class, or bad share: site '" + site + "', class '" + machine + "', share "
                            + weight);
        }
        double startTimeMs =
                entry.has("born_ms") ? field(subject, entry, "born_ms", "a number", JsonElement::getAsDouble) : 0;
        int cell = entry.has("block") ? field(subject, entry, "block", "a whole number", JsonElement::getAsInt) : 0;
        return new DiscoveredEndpoint(
                new Endpoint(endpointId(host), zone, kind, cell, state, weight, startTimeMs),
                address(subject, text(subject, entry, "dial")),
                new EndpointAttributes(host, zones.get(zone), kinds.get(kind), labels(subject, entry)));
    }

    private static EndpointState state(String subject, String health) {
        return switch (health) {
            case "up" -> EndpointState.READY;
            case "draining" -> EndpointState.DRAINING;
            case REMOVED -> EndpointState.REMOVED;
            default ->
                throw new InvalidFieldException(
                        subject, "unknown health '" + health + "', expected up, draining or removed");
        };
    }

    private static InetSocketAddress address(String subject, String dial) {
        try {
            return Addresses.parse(dial);
        } catch (InvalidAddressException e) {
            throw new InvalidFieldException(subject, "field 'dial': " + e.getMessage(), e);
        }
    }

    /** The labels of an endpoint, by which pools can select it. */
    private static Set<String> labels(String subject, JsonObject entry) {
        if (!entry.has("labels")) {
            return Set.of();
        }
        if (!entry.get("labels").isJsonArray()) {
            throw new InvalidFieldException(subject, "field 'labels': expected an array, got " + entry.get("labels"));
        }
        Set<String> labels = new HashSet<>();
        for (JsonElement label : entry.getAsJsonArray("labels")) {
            labels.add(value(subject, "labels", label, "texts", JsonElement::getAsString));
        }
        if (labels.size() > MAX_LABELS) {
            throw new InvalidFieldException(subject, "more than " + MAX_LABELS + " labels");
        }
        return labels;
    }

    private static String text(String subject, JsonObject entry, String field) {
        return field(subject, entry, field, "a text", JsonElement::getAsString);
    }

    private static <T> T field(
            String subject, JsonObject object, String field, String expected, Function<JsonElement, T> read) {
        JsonElement value = object.get(field);
        if (value == null) {
            throw new InvalidFieldException(subject, "field '" + field + "': expected " + expected + ", got nothing");
        }
        return value(subject, field, value, expected, read);
    }

    private static <T> T value(
            String subject, String field, JsonElement value, String expected, Function<JsonElement, T> read) {
        try {
            return read.apply(value);
        } catch (UnsupportedOperationException | IllegalStateException | NumberFormatException e) {
            // The exceptions that Gson throws for a value of the wrong type.
            throw new InvalidFieldException(
                    subject, "field '" + field + "': expected " + expected + ", got " + value, e);
        }
    }

    /** Whether a valid entry says that its endpoint was removed. */
    static boolean isRemoved(JsonObject rawEntry) {
        return rawEntry.get("health").getAsString().equals(REMOVED);
    }

    /** Encodes a complete list of entries as discovery sent them. */
    static JsonObject encodeSnapshot(long version, Collection<JsonObject> rawEntries) {
        JsonArray entries = new JsonArray();
        rawEntries.forEach(entries::add);
        JsonObject list = new JsonObject();
        list.addProperty("seq", version);
        list.addProperty("whole", true);
        list.add("hosts", entries);
        return list;
    }

    /**
     * The id of a host in hashes and peer messages, the same at all instances: the hexadecimal digits after the last
     * hyphen of its name, or the name's CRC-32 if there are none, or more than eight.
     */
    static int endpointId(String host) {
        String digits = host.substring(host.lastIndexOf('-') + 1);
        try {
            if (digits.length() <= MAX_ID_DIGITS) {
                return Integer.parseUnsignedInt(digits, 16);
            }
        } catch (NumberFormatException e) {
            // A name without hexadecimal digits: the checksum is used.
        }
        CRC32 checksum = new CRC32();
        checksum.update(host.getBytes(StandardCharsets.UTF_8));
        return (int) checksum.getValue();
    }
}
