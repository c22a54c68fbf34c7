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
 * The configuration of one instance, read from the JSON file that {@code BALANCER_CONFIG} names. Routing settings are
 * parsed by the simulator adapter's parser, from the same paths. Addresses are literal; no names are resolved.
 *
 * @param name the instance's name, {@code name}; {@code proxy} if the file has none
 * @param listen the address at which clients connect, {@code listen}
 * @param discovery the address of discovery, {@code discovery}
 * @param seed the seed of all random numbers, {@code seed}
 * @param cores the number of CPU cores that the process may use, {@code limits.cores}
 * @param memoryMb the memory limit in mebibytes, {@code limits.memory_mb}
 * @param sockets the limit of open sockets, {@code limits.sockets}
 * @param peerListen the address at which peers' datagrams arrive, {@code peer_listen}; null for none
 * @param peers the addresses of all instances by index, {@code peers}
 * @param peersBroadcast the address that reaches all instances at once, {@code peers_all}; null for none
 * @param initialEndpointList the endpoint list to start with, {@code known}; null for none
 * @param settings the settings of routing
 * @param zones the names of the zones by index, {@code settings.zones}
 * @param kinds the names of the kinds of endpoints by index, {@code settings.kinds}
 * @param idleCloseMs after how long servers close an idle connection, {@code settings.caps.idle-close}
 * @param streamsPerConnection how many requests a server accepts on one connection at a time,
 *     {@code settings.caps.streams-per-conn}
 * @param adminAddress the admin port's address, {@code operator}; null for none
 * @param source the content of the file
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

    /** The codec for discovery's list, with the configured zones and kinds. */
    EndpointListCodec endpointListCodec() {
        return new EndpointListCodec(zones, kinds);
    }

    /** The limit of connections to servers: a third of the process's sockets. */
    public int upstreamSockets() {
        return sockets / 3;
    }

    /** The addresses for datagrams between proxies; without one to listen at if the settings forbid peer messages. */
    public PeerAddresses peerAddresses() {
        return new PeerAddresses(
                settings.peerMessagesAllowed() ? peerListen : null, peers, peersBroadcast, settings.instanceIndex());
    }

    /** The settings for polling discovery. */
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
     * Reads a configuration file.
     *
     * @throws ConfigurationException if it can't be read or is invalid
     */
    public static Config read(String path) {
        if (path == null || path.isEmpty()) {
            throw new ConfigurationException("BALANCER_CONFIG is not set to the path of a configuration file");
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
     * Reads the file again for a reload. A file that lacks a key of this configuration is rejected: it was truncated,
     * or edited by hand, and the value intended for the missing key is unknown.
     *
     * @throws ConfigurationException if it can't be read or is invalid
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
            throw new IllegalArgumentException("unexpected content after the JSON object");
        }
        return json;
    }

    /**
     * The path of the first key in {@code before} that {@code now} lacks; null if there is none. Each entry of a list
     * must have the keys that all entries of the earlier list have. What is below a key {@code known} is not compared.
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
