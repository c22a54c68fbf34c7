package cacheproxy.proxy;

import cacheproxy.endpoints.PollerSettings;
import cacheproxy.proxy.discovery.Addresses;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.discovery.EndpointListCodec;
import cacheproxy.proxy.peer.PeerAddresses;
import cacheproxy.route.KnownNames;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.simulator.SettingsParser;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration of one instance, read from the file that {@code BALANCER_CONFIG} names. Settings are parsed as the
 * simulator's adapter does, from the same paths; addresses are literal, as there is no DNS. Keys of the file and
 * components have the same names, but for {@code limits.cores}, {@code limits.memory_mb}, {@code limits.sockets},
 * {@code settings.zones}, {@code settings.kinds}, {@code settings.caps.idle-close} and
 * {@code settings.caps.streams-per-conn}.
 *
 * @param name of the instance; {@code proxy} if the file has none
 * @param listen where clients connect
 * @param discovery where discovery is called
 * @param seed of all random draws
 * @param cores that the process may use
 * @param memoryMb memory limit in megabytes
 * @param sockets limit of open sockets
 * @param peerListen where peers' datagrams arrive; null: nowhere
 * @param peers addresses of all instances, in the order of their numbers
 * @param peersBroadcast reaches all instances at once; null: none
 * @param initialEndpointList the endpoint list to start with; null: none
 * @param settings of routing
 * @param zones names by number
 * @param kinds names of the kinds of endpoints, by number
 * @param idleCloseMs after which servers close an idle connection
 * @param streamsPerConnection how many requests a server takes on one connection at a time
 * @param adminAddress the admin port's address; null: none
 * @param source the file as it was read
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        double cores,
        int memoryMb,
        int sockets,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersBroadcast,
        JsonObject initialEndpointList,
        RoutingSettings settings,
        List<String> zones,
        List<String> kinds,
        double idleCloseMs,
        int streamsPerConnection,
        InetSocketAddress adminAddress,
        JsonObject source) {

    /** The names that routes may refer to. */
    public KnownNames routableNames() {
        return new KnownNames(
                settings.classes().stream().map(c -> c.name()).toList(),
                settings.tenants().stream().map(t -> t.name()).toList(),
                zones,
                kinds);
    }

    /** What discovery's list may name. */
    EndpointListCodec endpointListCodec() {
        return new EndpointListCodec(zones, kinds);
    }

    /** How many of the process's sockets connections to servers may take: a third. */
    public int upstreamSockets() {
        return sockets / 3;
    }

    /** Where the proxies of the tier exchange datagrams; without an address of its own where the settings forbid it. */
    public PeerAddresses peerAddresses() {
        return new PeerAddresses(
                settings.peerMessagesAllowed() ? peerListen : null, peers, peersBroadcast, settings.instanceIndex());
    }

    /** How discovery is called. */
    public DiscoveryClient.Settings discoverySettings() {
        return new DiscoveryClient.Settings(
                discovery,
                endpointListCodec(),
                settings.instanceSeed(seed),
                new PollerSettings(
                        settings.pollsDiscovery(),
                        settings.pollIntervalMs(),
                        settings.instanceCount(),
                        settings.peerMessagesAllowed()));
    }

    /**
     * Reads the file.
     *
     * @throws ConfigurationException if it is unusable
     */
    public static Config read(String path) {
        if (path == null || path.isEmpty()) {
            throw new ConfigurationException("BALANCER_CONFIG names no file");
        }
        try {
            return parse(json(path));
        } catch (Exception e) {
            String message = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            String kind =
                    e instanceof IllegalArgumentException ? "" : e.getClass().getSimpleName() + " ";
            throw new ConfigurationException("configuration " + path + ": " + kind + message, e);
        }
    }

    /**
     * Reads the file again while the instance serves. One that lacks a key which it had before is rejected: it was cut
     * off, or edited by hand, and nobody can say what the missing key should mean.
     *
     * @throws ConfigurationException if it is unusable
     */
    public Config reread(String path) {
        Config next = read(path);
        String missing = firstMissingKey("", source, next.source);
        if (missing != null) {
            throw new ConfigurationException("configuration " + path + ": '" + missing + "' is missing");
        }
        return next;
    }

    private static JsonObject json(String path) throws IOException {
        JsonReader reader = new JsonReader(new StringReader(Files.readString(Path.of(path))));
        reader.setStrictness(Strictness.STRICT);
        JsonObject json = JsonParser.parseReader(reader).getAsJsonObject();
        if (reader.peek() != JsonToken.END_DOCUMENT) {
            throw new IllegalArgumentException("more than one object");
        }
        return json;
    }

    /**
     * The first key of {@code before} that {@code now} lacks, with its path; of lists, the keys that all entries of
     * {@code before} have.
     */
    private static String firstMissingKey(String path, JsonElement before, JsonElement now) {
        if (before.isJsonObject()) {
            for (Map.Entry<String, JsonElement> e : before.getAsJsonObject().entrySet()) {
                String keyPath = path.isEmpty() ? e.getKey() : path + "." + e.getKey();
                JsonElement value = now.isJsonObject() ? now.getAsJsonObject().get(e.getKey()) : null;
                String missing = value == null
                        ? keyPath
                        : e.getKey().equals("known") ? null : firstMissingKey(keyPath, e.getValue(), value);
                if (missing != null) {
                    return missing;
                }
            }
        } else if (before.isJsonArray() && now.isJsonArray()) {
            JsonObject common = commonKeys(before.getAsJsonArray());
            for (JsonElement e : now.getAsJsonArray()) {
                String missing = firstMissingKey(path, common, e);
                if (missing != null) {
                    return missing;
                }
            }
        }
        return null;
    }

    private static JsonObject commonKeys(JsonArray list) {
        JsonObject common = null;
        for (JsonElement e : list) {
            if (!e.isJsonObject()) {
                return new JsonObject();
            }
            if (common == null) {
                common = e.getAsJsonObject().deepCopy();
            } else {
                common.keySet().retainAll(e.getAsJsonObject().keySet());
            }
        }
        return common == null ? new JsonObject() : common;
    }

    static Config parse(JsonObject json) {
        Map<String, String> values = new HashMap<>();
        flatten("", required(json, "settings"), values);
        SettingsParser parser = new SettingsParser(values);
        JsonObject limits = json.has("limits") ? json.getAsJsonObject("limits") : new JsonObject();
        List<InetSocketAddress> peers = new ArrayList<>();
        if (json.has("peers")) {
            json.getAsJsonArray("peers").forEach(p -> peers.add(Addresses.parse(p.getAsString())));
        }
        return new Config(
                json.has("name") ? json.get("name").getAsString() : "proxy",
                Addresses.parse(required(json, "listen").getAsString()),
                Addresses.parse(required(json, "discovery").getAsString()),
                Long.parseUnsignedLong(required(json, "seed").getAsString(), 16),
                number(limits, "cores", 1),
                (int) number(limits, "memory_mb", 192),
                (int) number(limits, "sockets", 1024),
                optionalAddress(json, "peer_listen"),
                List.copyOf(peers),
                optionalAddress(json, "peers_all"),
                json.has("known") ? json.getAsJsonObject("known") : null,
                parser.settings(),
                parser.list("zones"),
                parser.list("kinds"),
                parser.number("caps.idle-close", 15_000),
                Math.max(1, (int) parser.number("caps.streams-per-conn", 1)),
                optionalAddress(json, "operator"),
                json);
    }

    private static JsonElement required(JsonObject json, String key) {
        JsonElement value = json.get(key);
        if (value == null || value.isJsonNull()) {
            throw new IllegalArgumentException("'" + key + "' is missing");
        }
        return value;
    }

    private static double number(JsonObject json, String key, double defaultValue) {
        return json.has(key) ? json.get(key).getAsDouble() : defaultValue;
    }

    private static InetSocketAddress optionalAddress(JsonObject json, String key) {
        String text =
                json.has(key) && json.get(key).isJsonPrimitive() ? json.get(key).getAsString() : "";
        return text.isEmpty() ? null : Addresses.parse(text);
    }

    private static void flatten(String path, JsonElement value, Map<String, String> out) {
        if (value.isJsonObject()) {
            value.getAsJsonObject()
                    .entrySet()
                    .forEach(e -> flatten(path.isEmpty() ? e.getKey() : path + "." + e.getKey(), e.getValue(), out));
        } else if (value.isJsonArray()) {
            List<String> plain = new ArrayList<>();
            int i = 0;
            for (JsonElement e : value.getAsJsonArray()) {
                if (e.isJsonPrimitive()) {
                    plain.add(EndpointListCodec.settingsName(e.getAsString()));
                } else {
                    flatten(path + "." + i, e, out);
                }
                i++;
            }
            out.put(path + ".count", Integer.toString(i));
            out.put(path, String.join(",", plain));
        } else if (value instanceof JsonPrimitive p) {
            out.put(path, p.getAsString());
        }
    }
}
