package cacheproxy.proxy;

import cacheproxy.Await;
import cacheproxy.GoldenFile;
import cacheproxy.control.AdminPort;
import cacheproxy.control.ControlClient;
import cacheproxy.control.ControlRegistry;
import cacheproxy.control.ControlServer;
import cacheproxy.control.ProxyControl;
import cacheproxy.proxy.lifecycle.FleetFeatures;
import cacheproxy.proxy.lifecycle.Proxy;
import cacheproxy.proxy.lifecycle.StateLocation;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The answers of a running proxy to operators' commands, field by field. Numbers are compared as zeros, and texts that
 * differ from run to run as stars.
 */
@Timeout(60)
class OperatorAnswersTest {
    /** Fields whose text varies from run to run. */
    private static final Set<String> VARYING = Set.of("life", "digest", "folder");

    @TempDir
    private Path folder;

    private static JsonElement masked(String name, JsonElement value) {
        if (value.isJsonObject()) {
            JsonObject o = new JsonObject();
            value.getAsJsonObject().entrySet().forEach(e -> o.add(e.getKey(), masked(e.getKey(), e.getValue())));
            return o;
        }
        if (value.isJsonArray()) {
            JsonArray a = new JsonArray();
            value.getAsJsonArray().forEach(e -> a.add(masked(name, e)));
            return a;
        }
        if (value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber()) {
            return new JsonPrimitive(0);
        }
        return VARYING.contains(name) ? new JsonPrimitive("*") : value;
    }

    private static JsonElement answer(ControlClient client, String command, String arguments) throws Exception {
        JsonObject request = ControlClient.request(command);
        if (!arguments.isEmpty()) {
            for (String argument : arguments.split(" ")) {
                String[] pair = argument.split("=");
                if (pair[1].matches("[0-9.]+")) {
                    request.addProperty(pair[0], Double.parseDouble(pair[1]));
                } else {
                    request.addProperty(pair[0], pair[1]);
                }
            }
        }
        try {
            return masked("", client.call(request));
        } catch (ControlClient.RefusedException e) {
            return new JsonPrimitive("refused: " + e.getMessage());
        }
    }

    private static String stage(ControlClient client) {
        try {
            return client.call(ControlClient.request("status"))
                    .getAsJsonObject("recovery")
                    .get("stage")
                    .getAsString();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void proxyWithAllFeaturesAnswersAsPinned() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture().node("127.0.0.1:9").origin("127.0.0.1:9")) {
            fixture.config.add("known", fixture.initialList());
            fixture.config.addProperty("name", "proxy-3"); // the instance that the stored state belongs to
            Path kept = Files.createDirectory(folder.resolve("kept"));
            for (String file : new String[] {"snapshot", "journal"}) {
                Files.write(kept.resolve(file), GoldenFile.bytes("state/journal-torn/" + file));
            }
            fixture.proxy = Proxy.start(Config.parse(fixture.config), null, new StateLocation(kept, "edge"));
            fixture.proxy.joinFleet(new FleetFeatures(true, true, true));
            ControlRegistry registry = fixture.onEventLoop(() -> ProxyControl.registry(fixture.proxy));
            Path path = folder.resolve("c");
            try (ControlServer server = new ControlServer(fixture.proxy.loop(), path, registry);
                    ControlClient client = new ControlClient(path)) {
                Await.until("the process serves", () -> stage(client).equals("serving"));
                GoldenFile.assertJson("operators/status.json", answer(client, "status", ""));
                GoldenFile.assertJson("operators/view.json", answer(client, "view", ""));
                JsonObject others = new JsonObject();
                for (String[] ask : new String[][] {
                    {"help", ""},
                    {"zone", "zone=east order=hold"},
                    {"zone", "zone=east order=cost"},
                    {"zone", "zone=east order=return"},
                    {"zone", "zone=west order=leave over_ms=1000"},
                    {"zone", "zone=east order=release"},
                    {"zone", "zone=west order=release"},
                    {"zone", "zone=north order=hold"},
                    {"zone", "zone=east order=open"},
                    {"zone", "zone=east"},
                    {"zone", "order=hold"},
                    {"zone", "zone=east order=leave over_ms=soon"},
                    {"drain-cancel", ""},
                    {"drain", ""},
                    {"drain", "deadline_ms=-5"},
                    {"drain", "deadline_ms=20000"},
                    {"drain", "deadline_ms=20000"},
                    {"drain-cancel", ""},
                    {"recovery", ""},
                    {"figures", ""}
                }) {
                    String name = (ask[0] + " " + ask[1]).trim();
                    while (others.has(name)) {
                        name += " again";
                    }
                    others.add(name, answer(client, ask[0], ask[1]));
                }
                GoldenFile.assertJson("operators/commands.json", others);
            }
            try (AdminPort port =
                    new AdminPort(fixture.proxy.loop(), new InetSocketAddress("127.0.0.1", 0), registry)) {
                StringBuilder all = new StringBuilder();
                for (String call : new String[] {"HEALTH", "HANDOVER", "DUMP", "STATUS", ""}) {
                    all.append("> ").append(call).append('\n').append(call(port, call));
                }
                GoldenFile.assertText("operators/admin-port.txt", all.toString());
            }
        }
    }

    private static String call(AdminPort port, String word) throws Exception {
        try (Socket caller = new Socket()) {
            caller.connect(port.address());
            caller.getOutputStream().write((word + "\r\n").getBytes(StandardCharsets.US_ASCII));
            String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return answer.replaceAll(":[0-9]+\\|", ":0|");
        }
    }

    @Test
    void proxyWithoutFeaturesAnswersAsPinned() throws Exception {
        try (ProxyFixture fixture =
                new ProxyFixture().node("127.0.0.1:9").origin("127.0.0.1:9").start()) {
            ControlRegistry registry = fixture.onEventLoop(() -> ProxyControl.registry(fixture.proxy));
            Path path = folder.resolve("c");
            try (ControlServer server = new ControlServer(fixture.proxy.loop(), path, registry);
                    ControlClient client = new ControlClient(path)) {
                JsonObject all = new JsonObject();
                for (String ask : new String[] {"status", "view", "zone"}) {
                    all.add(ask, answer(client, ask, ""));
                }
                GoldenFile.assertJson("operators/status-alone.json", all);
            }
        }
    }

    /** The routing section of a proxy with routes; the counters of an unused route are zero anyway. */
    @Test
    void routingSectionIsAsPinned() throws Exception {
        ProxyFixture fixture = new ProxyFixture().node("127.0.0.1:9").origin("127.0.0.1:9");
        fixture.routing = RoutesTest.routing("pool one { host = \"s-00000001\" } route a { key = \"a*\" pool = one }");
        try (fixture) {
            fixture.start();
            ControlRegistry registry = fixture.onEventLoop(() -> ProxyControl.registry(fixture.proxy));
            Path path = folder.resolve("c");
            try (ControlServer server = new ControlServer(fixture.proxy.loop(), path, registry);
                    ControlClient client = new ControlClient(path)) {
                JsonObject routing =
                        answer(client, "status", "").getAsJsonObject().getAsJsonObject("routing");
                GoldenFile.assertJson("operators/status-routing.json", routing);
            }
        }
    }
}
