package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.proxy.lifecycle.ClassOutcomes;
import cacheproxy.proxy.lifecycle.ProxyStatus;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A settings reload in service is applied as a whole or rejected as a whole. */
@Timeout(60)
class SettingsReloadTest {
    /** Settings in the platform's format, with lists and objects, not flat as in the other tests. */
    private static JsonObject settings() throws Exception {
        return JsonParser.parseString(Files.readString(Path.of("src/test/resources/config.json")))
                .getAsJsonObject()
                .getAsJsonObject("settings");
    }

    private static FakeServer node() throws Exception {
        return FakeServer.node(line -> "VA 2 O" + FakeServer.id(line) + " h1\r\nhi\r\n");
    }

    private static Fleet fleet(FakeServer node) throws Exception {
        Fleet fleet = new Fleet();
        fleet.config.add("settings", settings());
        fleet.config.getAsJsonObject("settings").add("zones", JsonParser.parseString("[\"east\"]"));
        fleet.config.getAsJsonObject("settings").add("kinds", JsonParser.parseString("[\"node-fast\",\"origin\"]"));
        fleet.config.getAsJsonObject("settings").getAsJsonObject("extra").addProperty("origin-kind", 1);
        return fleet.node(node);
    }

    private static JsonArray classes(JsonObject config) {
        return config.getAsJsonObject("settings").getAsJsonArray("classes");
    }

    private static JsonObject kind(JsonObject like, String name) {
        JsonObject c = like.deepCopy();
        c.addProperty("name", name);
        return c;
    }

    private static ProxyStatus status(Fleet fleet) {
        return fleet.onEventLoop(fleet.proxy::status);
    }

    private static String ask(Fleet.Client client, String id, String kind) throws Exception {
        String line = client.send("mg 7f3a9c21e0b4d655 v O" + id + " Pc=" + kind + ",d=20000\r\n")
                .line();
        if (line.startsWith("VA")) {
            client.line();
        }
        return line;
    }

    @Test
    void classesAreAddedAndRemoved() throws Exception {
        try (Fleet fleet = fleet(node()).start();
                Fleet.Client client = fleet.client()) {
            assertThat(ask(client, "1", "seg-text")).startsWith("VA");
            assertThat(ask(client, "2", "seg-new")).startsWith("CLIENT_ERROR");
            JsonObject old = classes(fleet.config).get(0).getAsJsonObject();
            classes(fleet.config).set(0, kind(old, "seg-new"));
            fleet.reload();
            assertThat(ask(client, "3", "seg-new")).startsWith("VA");
            assertThat(ask(client, "4", "seg-text")).startsWith("CLIENT_ERROR");
            assertThat(status(fleet).reloadsApplied()).isEqualTo(1);
            assertThat(status(fleet).outcomesByClass())
                    .containsEntry("seg-text", new ClassOutcomes(1, 0, 1))
                    .containsEntry("seg-new", new ClassOutcomes(1, 0, 0));
        }
    }

    @Test
    void anOpenRequestKeepsItsRemovedClass() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeServer slow = new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                release.await();
                c.send("VA 2 O" + FakeServer.id(line) + " h1\r\nhi\r\n");
            }
        });
        try (Fleet fleet = fleet(slow).start();
                Fleet.Client client = fleet.client()) {
            client.send("mg 7f3a9c21e0b4d655 v O1 Pc=seg-text,d=20000\r\n");
            slow.nextCommand();
            classes(fleet.config).set(0, kind(classes(fleet.config).get(0).getAsJsonObject(), "seg-new"));
            fleet.reload();
            release.countDown();
            assertThat(client.line()).isEqualTo("VA 2 O1");
            assertThat(status(fleet).outcomesByClass()).containsEntry("seg-text", new ClassOutcomes(1, 0, 0));
        }
    }

    @Test
    void stricterIdempotencyAppliesToLaterRequests() throws Exception {
        FakeServer resets = new FakeServer(c -> {
            c.request();
            c.reset();
        });
        FakeServer misses = FakeServer.node(line -> "EN O" + FakeServer.id(line) + " h0\r\n");
        try (Fleet fleet = fleet(misses).origin(resets).start();
                Fleet.Client client = fleet.client()) {
            assertThat(ask(client, "1", "seg-text")).as("safe to retry").startsWith("SERVER_ERROR busy");
            classes(fleet.config).get(0).getAsJsonObject().addProperty("idempotency", "fragile");
            fleet.reload();
            assertThat(ask(client, "2", "seg-text"))
                    .as("may have been executed")
                    .isEqualTo("SERVER_ERROR failed");
        }
    }

    @Test
    void aLowerAttemptLimitAppliesToOpenRequestsToo() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeServer slow = new FakeServer(c -> {
            c.command();
            release.await();
            c.reset();
        });
        FakeServer other = node();
        try (Fleet fleet = fleet(slow).node(other).start()) {
            List<Fleet.Client> clients = new ArrayList<>();
            for (int i = 0; i < 8; i++) { // some of these keys belong to the slow node
                Fleet.Client client = fleet.client();
                client.send("mg 7f3a9c21e0b4d65" + i + " v O" + i + " Pc=seg-text,d=20000\r\n");
                clients.add(client);
            }
            slow.nextCommand();
            Await.until("each has been sent once", () -> status(fleet).forwardedAttempts() == clients.size());
            fleet.config.getAsJsonObject("settings").getAsJsonObject("caps").addProperty("max-attempts", 1);
            fleet.reload();
            long before = status(fleet).forwardedAttempts();
            release.countDown();
            for (Fleet.Client client : clients) {
                assertThat(client.line()).matches("VA .*|SERVER_ERROR busy.*");
            }
            assertThat(status(fleet).forwardedAttempts()).isEqualTo(before);
        }
    }

    @Test
    void invalidFilesChangeNothingAndAreCounted() throws Exception {
        try (Fleet fleet = fleet(node()).start()) {
            String good = fleet.config.toString();
            int broken = 0;
            for (int cut = 0; cut < good.length(); cut += 7) {
                fleet.reload(good.substring(0, cut));
                broken++;
            }
            List<Consumer<JsonObject>> changes = new ArrayList<>();
            addKeyRemovals(fleet.config, changes);
            for (String figure : new String[] {"deadline", "promise"}) {
                for (String value : new String[] {"0", "-1", "null", "\"x\"", "\"NaN\"", "1e999"}) {
                    changes.add(c -> classes(c).get(0).getAsJsonObject().add(figure, JsonParser.parseString(value)));
                }
            }
            for (String value : new String[] {"0", "-2", "0.5", "\"many\""}) {
                changes.add(c -> c.getAsJsonObject("settings")
                        .getAsJsonObject("caps")
                        .add("max-attempts", JsonParser.parseString(value)));
            }
            changes.add(c -> c.getAsJsonObject("settings").add("classes", new JsonArray()));
            changes.add(c -> classes(c).add(classes(c).get(0).deepCopy()));
            changes.add(c -> classes(c).get(0).getAsJsonObject().addProperty("idempotency", "sometimes"));
            changes.add(c -> c.addProperty("discovery", "nowhere"));
            for (Consumer<JsonObject> change : changes) {
                JsonObject copy = JsonParser.parseString(good).getAsJsonObject();
                change.accept(copy);
                fleet.reload(copy.toString());
                broken++;
                assertThat(status(fleet).reloadsRejected()).as("%s", copy).isEqualTo(broken);
            }
            assertThat(status(fleet).reloadsApplied()).isZero();
            // Connected only now: the proxy closes a client that stays silent through the reloads above.
            try (Fleet.Client client = fleet.client()) {
                assertThat(ask(client, "1", "seg-text")).startsWith("VA");
            }
            fleet.reload(good);
            assertThat(status(fleet).reloadsApplied()).isEqualTo(1);
        }
    }

    /** Adds a change for each key of each object that removes it, except in the endpoint list. */
    private static void addKeyRemovals(JsonObject config, List<Consumer<JsonObject>> changes) {
        for (Map.Entry<String, JsonElement> e : config.entrySet()) {
            changes.add(c -> c.remove(e.getKey()));
        }
        JsonObject settings = config.getAsJsonObject("settings");
        for (Map.Entry<String, JsonElement> e : settings.entrySet()) {
            changes.add(c -> c.getAsJsonObject("settings").remove(e.getKey()));
            if (e.getValue().isJsonObject()) {
                for (String inner : e.getValue().getAsJsonObject().keySet()) {
                    changes.add(c -> c.getAsJsonObject("settings")
                            .getAsJsonObject(e.getKey())
                            .remove(inner));
                }
            }
        }
        for (String key : classes(config).get(0).getAsJsonObject().keySet()) {
            changes.add(c -> classes(c).get(0).getAsJsonObject().remove(key));
        }
    }
}
