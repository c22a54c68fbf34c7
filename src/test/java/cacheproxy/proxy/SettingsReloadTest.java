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

    private static ProxyFixture fixture(FakeServer node) throws Exception {
        ProxyFixture fixture = new ProxyFixture();
        fixture.config.add("settings", settings());
        fixture.config.getAsJsonObject("settings").add("zones", JsonParser.parseString("[\"east\"]"));
        fixture.config.getAsJsonObject("settings").add("kinds", JsonParser.parseString("[\"node-fast\",\"origin\"]"));
        fixture.config.getAsJsonObject("settings").getAsJsonObject("extra").addProperty("origin-kind", 1);
        return fixture.node(node);
    }

    private static JsonArray classes(JsonObject config) {
        return config.getAsJsonObject("settings").getAsJsonArray("classes");
    }

    private static JsonObject kind(JsonObject like, String name) {
        JsonObject c = like.deepCopy();
        c.addProperty("name", name);
        return c;
    }

    private static ProxyStatus status(ProxyFixture fixture) {
        return fixture.onEventLoop(fixture.proxy::status);
    }

    private static String ask(ProxyFixture.Client client, String id, String kind) throws Exception {
        String line = client.send("mg 7f3a9c21e0b4d655 v O" + id + " Pc=" + kind + ",d=20000\r\n")
                .line();
        if (line.startsWith("VA")) {
            client.line();
        }
        return line;
    }

    @Test
    void classesAreAddedAndRemoved() throws Exception {
        try (ProxyFixture fixture = fixture(node()).start();
                ProxyFixture.Client client = fixture.client()) {
            assertThat(ask(client, "1", "seg-text")).startsWith("VA");
            assertThat(ask(client, "2", "seg-new")).startsWith("CLIENT_ERROR");
            JsonObject old = classes(fixture.config).get(0).getAsJsonObject();
            classes(fixture.config).set(0, kind(old, "seg-new"));
            fixture.reload();
            assertThat(ask(client, "3", "seg-new")).startsWith("VA");
            assertThat(ask(client, "4", "seg-text")).startsWith("CLIENT_ERROR");
            assertThat(status(fixture).reloadsApplied()).isEqualTo(1);
            assertThat(status(fixture).outcomesByClass())
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
        try (ProxyFixture fixture = fixture(slow).start();
                ProxyFixture.Client client = fixture.client()) {
            client.send("mg 7f3a9c21e0b4d655 v O1 Pc=seg-text,d=20000\r\n");
            slow.nextCommand();
            classes(fixture.config).set(0, kind(classes(fixture.config).get(0).getAsJsonObject(), "seg-new"));
            fixture.reload();
            release.countDown();
            assertThat(client.line()).isEqualTo("VA 2 O1");
            assertThat(status(fixture).outcomesByClass()).containsEntry("seg-text", new ClassOutcomes(1, 0, 0));
        }
    }

    @Test
    void stricterIdempotencyAppliesToLaterRequests() throws Exception {
        FakeServer resets = new FakeServer(c -> {
            c.request();
            c.reset();
        });
        FakeServer misses = FakeServer.node(line -> "EN O" + FakeServer.id(line) + " h0\r\n");
        try (ProxyFixture fixture = fixture(misses).origin(resets).start();
                ProxyFixture.Client client = fixture.client()) {
            assertThat(ask(client, "1", "seg-text")).as("safe to retry").startsWith("SERVER_ERROR busy");
            classes(fixture.config).get(0).getAsJsonObject().addProperty("idempotency", "fragile");
            fixture.reload();
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
        try (ProxyFixture fixture = fixture(slow).node(other).start()) {
            List<ProxyFixture.Client> clients = new ArrayList<>();
            for (int i = 0; i < 8; i++) { // some of these keys belong to the slow node
                ProxyFixture.Client client = fixture.client();
                client.send("mg 7f3a9c21e0b4d65" + i + " v O" + i + " Pc=seg-text,d=20000\r\n");
                clients.add(client);
            }
            slow.nextCommand();
            Await.until("each has been sent once", () -> status(fixture).forwardedAttempts() == clients.size());
            fixture.config.getAsJsonObject("settings").getAsJsonObject("caps").addProperty("max-attempts", 1);
            fixture.reload();
            long before = status(fixture).forwardedAttempts();
            release.countDown();
            for (ProxyFixture.Client client : clients) {
                assertThat(client.line()).matches("VA .*|SERVER_ERROR busy.*");
            }
            assertThat(status(fixture).forwardedAttempts()).isEqualTo(before);
        }
    }

    @Test
    void invalidFilesChangeNothingAndAreCounted() throws Exception {
        try (ProxyFixture fixture = fixture(node()).start()) {
            String good = fixture.config.toString();
            int broken = 0;
            for (int cut = 0; cut < good.length(); cut += 7) {
                fixture.reload(good.substring(0, cut));
                broken++;
            }
            List<Consumer<JsonObject>> changes = new ArrayList<>();
            addKeyRemovals(fixture.config, changes);
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
                fixture.reload(copy.toString());
                broken++;
                assertThat(status(fixture).reloadsRejected()).as("%s", copy).isEqualTo(broken);
            }
            assertThat(status(fixture).reloadsApplied()).isZero();
            // Connected only now: the proxy closes a client that stays silent through the reloads above.
            try (ProxyFixture.Client client = fixture.client()) {
                assertThat(ask(client, "1", "seg-text")).startsWith("VA");
            }
            fixture.reload(good);
            assertThat(status(fixture).reloadsApplied()).isEqualTo(1);
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
