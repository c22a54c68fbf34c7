package cacheproxy.demo;

import cacheproxy.emulator.EmulatedFleet;
import cacheproxy.emulator.FleetSpec;
import cacheproxy.emulator.Keys;
import cacheproxy.emulator.TrafficClass;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;

/** Builds the configuration of a proxy in front of an emulated fleet. */
final class ProxyConfig {
    private static final double CONNECT_TIMEOUT_MS = 500;
    private static final double IDLE_CLOSE_MS = 30_000;

    private ProxyConfig() {}

    /**
     * {@code turn}: how many configurations the proxy has had before; its seed and discovery address depend on it.
     * {@code retuned}: alternative settings, with an additional unused service class and one attempt less.
     */
    static JsonObject of(
            EmulatedFleet fleet, int proxy, InetSocketAddress listen, int turn, int memoryMb, boolean retuned) {
        FleetSpec spec = fleet.spec();
        JsonObject o = new JsonObject();
        o.addProperty("name", "proxy-" + proxy);
        o.addProperty("listen", text(listen));
        o.addProperty("discovery", text(fleet.discovery(proxy, turn)));
        o.addProperty("seed", Keys.hex(Keys.mix(spec.seed() * 1009 + proxy * 31L + turn)));
        o.add("limits", object("cores", 1.0, "memory_mb", memoryMb, "sockets", 1024));
        o.add("known", fleet.known(proxy));
        boolean peers = fleet.peers() != null;
        if (peers) {
            o.addProperty("peer_listen", text(fleet.peers().listen(proxy)));
            o.add(
                    "peers",
                    array(fleet.peers().peers(proxy).stream()
                            .map(ProxyConfig::text)
                            .toList()));
            o.addProperty("peers_all", text(fleet.peers().all(proxy)));
        }
        JsonObject settings = object(
                "me",
                proxy,
                "balancers",
                spec.proxies(),
                "locality",
                spec.layout().zoneOf(proxy),
                "discovery",
                "ask",
                "value-by",
                "request",
                "over-share-worth",
                0.1);
        settings.add("zones", array(fleet.sites()));
        settings.add("kinds", array(fleet.kinds()));
        JsonObject report = object("how", "silent");
        report.add("names", new JsonArray());
        settings.add("report", report);
        settings.add(
                "caps",
                object(
                        "may-cancel",
                        true,
                        "may-probe",
                        false,
                        "peers",
                        peers,
                        "second-copies",
                        true,
                        "retry-after",
                        true,
                        "max-attempts",
                        retuned ? 2 : 3,
                        "max-retry-after",
                        500.0,
                        "connect-timeout",
                        CONNECT_TIMEOUT_MS,
                        "idle-close",
                        IDLE_CLOSE_MS,
                        "streams-per-conn",
                        16));
        settings.add(
                "extra",
                object(
                        "mode",
                        "aside",
                        "origin-kind",
                        fleet.kinds().indexOf("origin"),
                        "origin-fall-multiple",
                        0.0,
                        "origin-fall",
                        3000.0));
        settings.add(
                "guarantees",
                object(
                        "drain-grace",
                        spec.drainGraceMs(),
                        "grace-to-answer",
                        20.0,
                        "start-capacity",
                        0.3,
                        "warm-up",
                        spec.warmUpMs(),
                        "tip-multiple",
                        3.0,
                        "fall",
                        1500.0,
                        "ask-within",
                        10_000.0));
        JsonArray classes = new JsonArray();
        for (TrafficClass c : spec.classes()) {
            classes.add(object(
                    "name",
                    c.name(),
                    "idempotency",
                    switch (c.kind()) {
                        case READ -> "retryable";
                        case UNSAFE -> "fragile";
                        case KEYED -> "dedup";
                    },
                    "promise",
                    c.aimMs(),
                    "deadline",
                    c.deadlineMs(),
                    "gain",
                    c.worth(),
                    "late-share",
                    0.3,
                    "stream",
                    false,
                    "group",
                    "all",
                    "window",
                    1500.0));
        }
        if (retuned) {
            JsonObject extra = classes.get(0).getAsJsonObject().deepCopy();
            extra.addProperty("name", "seg-extra");
            classes.add(extra);
        }
        settings.add("classes", classes);
        o.add("settings", settings);
        return o;
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static JsonArray array(Iterable<String> words) {
        JsonArray array = new JsonArray();
        words.forEach(array::add);
        return array;
    }

    private static JsonObject object(Object... pairs) {
        JsonObject o = new JsonObject();
        for (int i = 0; i < pairs.length; i += 2) {
            String name = (String) pairs[i];
            if (pairs[i + 1] instanceof Number n) {
                o.addProperty(name, n);
            } else if (pairs[i + 1] instanceof Boolean b) {
                o.addProperty(name, b);
            } else {
                o.addProperty(name, (String) pairs[i + 1]);
            }
        }
        return o;
    }
}
