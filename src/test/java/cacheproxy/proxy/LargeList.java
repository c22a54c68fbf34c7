package cacheproxy.proxy;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.function.IntFunction;

/** Endpoint lists and configurations with many servers and peers, for tests and measurements. */
final class LargeList {
    private static final String[] SITES = {"east", "west"};

    private LargeList() {}

    /** The name of the server at an index of the list, from 0. */
    static String name(int server) {
        return "s-%08x".formatted(server + 1);
    }

    /**
     * A list of {@code servers} cache nodes, alternating between both sites, and the origin; {@code dial} gives each
     * address.
     */
    static JsonArray hosts(int servers, IntFunction<String> dial, String origin) {
        JsonArray hosts = new JsonArray();
        for (int i = 0; i < servers; i++) {
            JsonObject host = ProxyFixture.host(name(i), "node-fast", dial.apply(i), "up");
            host.addProperty("site", SITES[i % SITES.length]);
            host.addProperty("block", i / 16);
            hosts.add(host);
        }
        hosts.add(ProxyFixture.host("s-0000aaaa", "origin", origin, "up"));
        return hosts;
    }

    /** The address of a peer by its number; each has a loopback address of its own. */
    static String peer(int number) {
        return "127.77.%d.%d:7946".formatted(number / 250, number % 250 + 1);
    }

    /** Configures {@code peers} peers, of which this proxy is the first. */
    static void peers(JsonObject config, int peers) {
        JsonArray all = new JsonArray();
        for (int i = 0; i < peers; i++) {
            all.add(peer(i));
        }
        config.add("peers", all);
        config.addProperty("peers_all", peer(0));
        config.addProperty("peer_listen", peer(0));
        config.getAsJsonObject("settings").addProperty("balancers", Integer.toString(peers));
    }
}
