package cacheproxy.proxy.discovery;

import cacheproxy.route.EndpointAttributes;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32;

/**
 * The form in which discovery tells of servers.
 *
 * @param zones the sites that an entry may name, by whose places here the decision module knows them
 * @param kinds the kinds of machine that it may name, likewise
 */
public record EndpointListCodec(List<String> zones, List<String> kinds) {
    private static final int MAX_LABELS = 64;
    /** Versions are whole numbers up to the highest that any reader of JSON keeps exact. */
    private static final double MAX_VERSION = 1L << 53;

    /**
     * An answer of discovery's.
     *
     * @param version of the list
     * @param snapshot whether it names all servers
     * @param endpoints its entries that can be used
     * @param rawEntries the same as discovery words them, by name
     * @param rejectedHosts names of servers whose entries can't be used
     * @param errors what is wrong with it, a line for each entry that can't be used
     */
    public record DecodedList(
            long version,
            boolean snapshot,
            List<DiscoveredEndpoint> endpoints,
            Map<String, JsonObject> rawEntries,
            Set<String> rejectedHosts,
            List<String> errors) {}

    /** A name as the settings word it, where a list stands on one line. */
    public static String settingsName(String text) {
        return text.replace(' ', '_').replace(',', '_');
    }

    /**
     * Reads an answer. An entry that can't be used is left out and told; one that can't be assigned to a server makes a
     * whole list one of changes, as it may be any server's. Of a host that is listed twice the entry counts that lets
     * it be used less.
     *
     * @throws JsonParseException if it is no list, or no entry of it can be used
     */
    public DecodedList decode(JsonElement json) {
        if (!json.isJsonObject()
                || !json.getAsJsonObject().has("hosts")
                || !json.getAsJsonObject().get("hosts").isJsonArray()) {
            throw new JsonParseException("no list");
        }
        JsonObject list = json.getAsJsonObject();
        DecodedList read = entries(version(list), list.get("whole").getAsBoolean(), list.getAsJsonArray("hosts"));
        if (read.endpoints().isEmpty() && !read.errors().isEmpty()) {
            throw new JsonParseException(read.errors().get(0));
        }
        return read;
    }

    private DecodedList entries(long version, boolean all, JsonArray list) {
        Map<String, Integer> zoneNumbers = numbers(zones);
        Map<String, Integer> kindNumbers = numbers(kinds);
        Map<String, DiscoveredEndpoint> hosts = new LinkedHashMap<>();
        Map<String, JsonObject> entries = new LinkedHashMap<>();
        Set<String> unusable = new HashSet<>();
        List<String> wrong = new ArrayList<>();
        boolean anonymous = false;
        for (JsonElement element : list) {
            String name = name(element);
            try {
                DiscoveredEndpoint host = host(element.getAsJsonObject(), zoneNumbers, kindNumbers);
                DiscoveredEndpoint other = hosts.get(name);
                if (other != null) {
                    wrong.add("host " + name + " is listed twice");
                }
                if (other == null || other.endpoint().state() == EndpointState.READY) {
                    hosts.put(name, host);
                    entries.put(name, element.getAsJsonObject());
                }
            } catch (RuntimeException e) {
                wrong.add(name == null ? "an entry without a host: " + e.getMessage() : e.getMessage());
                anonymous |= name == null;
                if (name != null) {
                    unusable.add(name);
                }
            }
        }
        unusable.removeAll(hosts.keySet());
        boolean whole = all && !anonymous;
        return new DecodedList(version, whole, List.copyOf(hosts.values()), entries, unusable, wrong);
    }

    private static String name(JsonElement entry) {
        if (!entry.isJsonObject() || !entry.getAsJsonObject().has("host")) {
            return null;
        }
        JsonElement name = entry.getAsJsonObject().get("host");
        return name.isJsonPrimitive() ? name.getAsString() : null;
    }

    /**
     * The version of a list.
     *
     * @throws JsonParseException if it is no whole number from 0 to 2 to the power of 53
     */
    static long version(JsonObject list) {
        JsonElement seq = list.get("seq");
        double version = seq != null && seq.isJsonPrimitive() ? seq.getAsDouble() : Double.NaN;
        if (!(version >= 0) || version > MAX_VERSION || version != Math.rint(version)) {
            throw new JsonParseException("no version of a list: " + seq);
        }
        return (long) version;
    }

    /** The hosts of a list; an exception says what is wrong with one. */
    public List<DiscoveredEndpoint> decodeAll(JsonObject json) {
        DecodedList read = entries(0, true, json.getAsJsonArray("hosts"));
        if (!read.errors().isEmpty()) {
            throw new IllegalArgumentException(read.errors().get(0));
        }
        return read.endpoints();
    }

    /** The places of words in a list, by the words: a search for each host would take the product of both. */
    private static Map<String, Integer> numbers(List<String> words) {
        Map<String, Integer> numbers = new HashMap<>();
        for (int i = 0; i < words.size(); i++) {
            numbers.putIfAbsent(words.get(i), i);
        }
        return numbers;
    }

    private DiscoveredEndpoint host(JsonObject h, Map<String, Integer> zoneNumbers, Map<String, Integer> kindNumbers) {
        String name = h.get("host").getAsString();
        EndpointState state = switch (h.get("health").getAsString()) {
            case "up" -> EndpointState.READY;
            case "draining" -> EndpointState.DRAINING;
            case "removed" -> EndpointState.REMOVED;
            default -> throw new IllegalArgumentException("host " + name + ": unknown health");
        };
        int zone = zoneNumbers.getOrDefault(settingsName(h.get("site").getAsString()), -1);
        int kind = kindNumbers.getOrDefault(settingsName(h.get("class").getAsString()), -1);
        float weight = h.has("share") ? h.get("share").getAsFloat() : 1;
        if (zone < 0 || kind < 0 || !(weight >= 0) || Float.isInfinite(weight)) {
            throw new IllegalArgumentException("host " + name + ": unknown site or class, or bad share");
        }
        double born = h.has("born_ms") ? h.get("born_ms").getAsDouble() : 0;
        int cell = h.has("block") ? h.get("block").getAsInt() : 0;
        return new DiscoveredEndpoint(
                new Endpoint(endpointId(name), zone, kind, cell, state, weight, born),
                Addresses.parse(h.get("dial").getAsString()),
                new EndpointAttributes(name, zones.get(zone), kinds.get(kind), labels(name, h)));
    }

    /** Words that installations may put on their servers for pools to select by; most have none. */
    private static Set<String> labels(String name, JsonObject h) {
        if (!h.has("labels")) {
            return Set.of();
        }
        Set<String> labels = new HashSet<>();
        h.getAsJsonArray("labels").forEach(l -> labels.add(l.getAsString()));
        if (labels.size() > MAX_LABELS) {
            throw new IllegalArgumentException("host " + name + ": more than " + MAX_LABELS + " labels");
        }
        return labels;
    }

    /** The number that stands for a host in hashes, the same at all instances. */
    static int endpointId(String name) {
        String digits = name.substring(name.lastIndexOf('-') + 1);
        try {
            if (digits.length() <= 8) {
                return Integer.parseUnsignedInt(digits, 16);
            }
        } catch (NumberFormatException e) {
            // not of that form
        }
        CRC32 sum = new CRC32();
        sum.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) sum.getValue();
    }
}
