package cacheproxy.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.Await;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the emulated servers and each fault over real sockets, with plain sockets and the JDK's HTTP client. */
@Timeout(60)
class EmulatedFleetTest {
    private static final FleetSpec QUICK =
            FleetSpec.standard(2, 2, 1).withWork(0, 0).withHeld(0).withTimes(0, 60_000, 100, 50);
    private static final String KEY = Keys.key(1);

    private EmulatedFleet fleet;
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private EmulatedFleet start(FleetSpec spec) {
        fleet = new EmulatedFleet(spec);
        return fleet;
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    private Peer node(int proxy, int number) throws IOException {
        return new Peer(fleet.nodes(proxy).get("node-" + number));
    }

    private HttpResponse<String> origin(String method, String id, String extras) throws Exception {
        InetSocketAddress to = fleet.originAddress();
        return http.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + to.getPort() + "/" + KEY))
                        .method(method, HttpRequest.BodyPublishers.noBody())
                        .header("Req-Id", id)
                        .header("Req-Extra", extras)
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private CompletableFuture<JsonObject> discovery(String query) {
        InetSocketAddress to = fleet.discovery(0, 0);
        return http.sendAsync(
                        HttpRequest.newBuilder(
                                        URI.create("http://127.0.0.1:" + to.getPort() + "/discovery/hosts" + query))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .thenApply(r -> JsonParser.parseString(r.body()).getAsJsonObject());
    }

    /** Returns once the fault has been applied. */
    private void fault(Fault.Action action, String target, double forMs, double share) throws Exception {
        fleet.play(List.of(new Fault(0, target, action, forMs, share)), (p, f) -> {})
                .get();
    }

    // ---- the protocol

    @Test
    void whatMissedIsFilledByTheOriginsAnswerAndVoidedByAWrite() throws Exception {
        start(QUICK);
        try (Peer node = node(0, 0);
                Peer other = node(1, 1)) {
            assertThat(node.read(KEY, "1").line()).isEqualTo("EN O1 h0");
            assertThat(other.read(KEY, "2").line()).isEqualTo("EN O2 h0 Z");
            String value = origin("GET", "1", "c=seg-text").body();
            assertThat(Payload.read(value.getBytes(StandardCharsets.ISO_8859_1)))
                    .isEqualTo(new Payload(KEY, 0));
            assertThat(node.read(KEY, "3").line()).isEqualTo("VA " + value.length() + " O3 h1");
            assertThat(node.line()).isEqualTo(value);
            assertThat(other.read(KEY, "4").line())
                    .startsWith("EN"); // its own request has not been answered by the origin
            assertThat(origin("PUT", "5", "c=fix-submit").body()).isEqualTo("v1");
            assertThat(node.read(KEY, "6").line()).startsWith("EN");
            assertThat(fleet.verdict().effects()).isEqualTo(1);
        }
    }

    @Test
    void aKeyedRepeatIsDroppedWithItsReceiptAndAnUnsafeOneRunsTwice() throws Exception {
        start(QUICK);
        assertThat(origin("PUT", "1", "c=track-publish,k=x").body()).isEqualTo("v1");
        assertThat(origin("PUT", "2", "c=track-publish,k=x").body()).isEqualTo("v1");
        assertThat(fleet.verdict().breaches()).isEmpty();
        origin("PUT", "3", "c=fix-submit");
        origin("PUT", "3", "c=fix-submit");
        assertThat(fleet.verdict().breaches()).containsOnlyKeys(Oracle.Rule.RAN_TWICE);
        assertThat(fleet.verdict().effects()).isEqualTo(3);
    }

    @Test
    void commandsOfNoUseAreToldAndLostFramingEndsTheConnection() throws Exception {
        start(QUICK);
        try (Peer node = node(0, 0)) {
            assertThat(node.say("mn\r\nnonsense\r\nmg x\r\n").line()).isEqualTo("MN");
            assertThat(node.line()).isEqualTo("ERROR");
            assertThat(node.line()).isEqualTo("ERROR");
            assertThat(node.say("ms " + KEY + " 2 O1 Pc=fix-submit,d=5\r\nhi\r\n")
                            .line())
                    .startsWith("CLIENT_ERROR");
            assertThat(node.say("ms " + KEY + " -2 O1\r\n").line()).startsWith("CLIENT_ERROR");
            assertThat(node.line()).isNull();
        }
    }

    @Test
    void theCoresQueueAndTheConnectionsAreBounded() throws Exception {
        start(QUICK.withWork(60_000, 0).withHeld(1).withBounds(10, 1, 2, 100));
        try (Peer node = node(0, 0);
                Peer second = node(0, 0)) {
            for (int i = 1; i <= 3; i++) { // one runs, along with the handshake work; one waits
                node.read(KEY, "" + i);
            }
            second.read(KEY, "4");
            assertThat(second.line()).isEqualTo("SERVER_ERROR busy");
            try (Peer third = node(0, 0)) {
                assertThatThrownBy(() -> {
                            if (third.read(KEY, "5").line() == null) {
                                throw new SocketException("closed");
                            }
                        })
                        .isInstanceOf(SocketException.class);
            }
        }
    }

    @Test
    void discoveryGivesTheListAndAWatchHearsOfAChange() throws Exception {
        start(QUICK);
        JsonObject whole = discovery("").join();
        assertThat(whole.get("whole").getAsBoolean()).isTrue();
        assertThat(whole.getAsJsonArray("hosts")).hasSize(3);
        CompletableFuture<JsonObject> watch = discovery("?since=" + whole.get("seq") + "&timeout_ms=20000");
        fault(Fault.Action.DRAIN, "node-1", 0, 0);
        JsonObject change = watch.join();
        assertThat(change.get("whole").getAsBoolean()).isFalse();
        JsonObject host = change.getAsJsonArray("hosts").get(0).getAsJsonObject();
        assertThat(host.get("host").getAsString()).isEqualTo("node-1");
        assertThat(host.get("health").getAsString()).isEqualTo("draining");
        assertThat(discovery("?since=" + change.get("seq") + "&timeout_ms=1")
                        .join()
                        .getAsJsonArray("hosts"))
                .isEmpty();
        assertThat(discovery("?since=x").join().has("hosts")).isFalse();
    }

    // ---- faults

    @Test
    void anOutageEndsWatchesAndIsOver() throws Exception {
        start(QUICK);
        long seq = discovery("").join().get("seq").getAsLong();
        CompletableFuture<JsonObject> watch = discovery("?since=" + seq + "&timeout_ms=20000");
        fleet.on(() -> null);
        fault(Fault.Action.DOWN, "discovery", 60_000, 0);
        assertThatThrownBy(watch::join).isInstanceOf(Exception.class);
        assertThatThrownBy(() -> discovery("").join()).isInstanceOf(Exception.class);
        fault(Fault.Action.DOWN, "discovery", 0, 0);
        Await.until("discovery is back", () -> discovery("").join().has("seq"));
    }

    @Test
    void aNodeThatDrainsIsToldOfAndASendAfterTheGraceIsSeen() throws Exception {
        start(QUICK);
        fault(Fault.Action.DRAIN, "node-0", 0, 0);
        Await.until("the list says so", () -> discovery("").join().toString().contains("draining"));
        double told = fleet.now();
        try (Peer node = node(0, 0)) {
            Await.until("the grace is over", () -> fleet.now() > told + 2 * QUICK.drainGraceMs());
            node.read(KEY, "1").line();
        }
        assertThat(fleet.verdict().breaches()).containsOnlyKeys(Oracle.Rule.SENT_AFTER_DRAIN);
    }

    @Test
    void aFrozenNodeAnswersNothingUntilItGoesOn() throws Exception {
        start(QUICK.withHeld(1));
        try (Peer node = node(0, 0)) {
            assertThat(node.say("mn\r\n").line()).isEqualTo("MN");
            double before = fleet.now();
            fault(Fault.Action.FREEZE, "node-0", 300, 0);
            assertThat(node.read(KEY, "1").line()).startsWith("VA");
            assertThat(fleet.now() - before).isGreaterThanOrEqualTo(300);
        }
    }

    @Test
    void aStalledNodeReadsOnAndAnswersLate() throws Exception {
        start(QUICK.withWork(1, 0).withHeld(1));
        try (Peer node = node(0, 0)) {
            assertThat(node.say("mn\r\n").line()).isEqualTo("MN");
            double before = fleet.now();
            fault(Fault.Action.STALL, "node-0", 300, 0);
            node.read(KEY, "1");
            assertThat(node.line()).startsWith("VA");
            assertThat(fleet.now() - before).isGreaterThanOrEqualTo(300);
        }
    }

    @Test
    void aResetEndsConnectionsAndNewOnesComeUp() throws Exception {
        start(QUICK.withHeld(1));
        try (Peer node = node(0, 0)) {
            assertThat(node.say("mn\r\n").line()).isEqualTo("MN");
            fault(Fault.Action.RESET, "node-0", 0, 0);
            assertThatThrownBy(node::line).isInstanceOf(SocketException.class);
        }
        try (Peer node = node(0, 0)) {
            assertThat(node.read(KEY, "1").line()).startsWith("VA");
        }
    }

    @Test
    void aSilentNodesConnectionsAreResetWhenItIsBack() throws Exception {
        start(QUICK.withHeld(1));
        try (Peer node = node(0, 0)) {
            assertThat(node.say("mn\r\n").line()).isEqualTo("MN");
            fault(Fault.Action.SILENCE, "node-0", 200, 0);
            node.read(KEY, "1");
            assertThatThrownBy(node::line).isInstanceOf(SocketException.class);
        }
    }

    @Test
    void aNodeThatLeftRefusesAndIsRemovedFromTheList() throws Exception {
        start(QUICK);
        fault(Fault.Action.LEAVE, "node-0", 0, 0);
        Await.until(
                "the node is off the list",
                () -> discovery("").join().getAsJsonArray("hosts").size() == 2);
        assertThatThrownBy(() -> node(0, 0)).isInstanceOf(IOException.class);
    }

    @Test
    void aRestartedNodeComesBackEmptyColdAndWithItsBirth() throws Exception {
        start(QUICK.withHeld(1));
        InetSocketAddress before = fleet.nodes(0).get("node-0");
        fault(Fault.Action.RESTART, "node-0", 50, 0);
        Await.until(
                "the node is born",
                () -> discovery("").join().getAsJsonArray("hosts").asList().stream()
                        .anyMatch(h -> h.getAsJsonObject().get("born_ms").getAsLong() > 0));
        assertThat(fleet.nodes(0).get("node-0")).isEqualTo(before);
        try (Peer node = node(0, 0)) {
            assertThat(node.read(KEY, "1").line()).startsWith("EN");
        }
    }

    @Test
    void aColdNodeThatIsSentTooMuchFallsAndStaysDown() throws Exception {
        start(QUICK.withWork(200, 0));
        fault(Fault.Action.RESTART, "node-0", 0, 0);
        Await.until(
                "the node is born",
                () -> discovery("").join().getAsJsonArray("hosts").asList().stream()
                        .anyMatch(h -> h.getAsJsonObject().get("born_ms").getAsLong() > 0));
        try (Peer node = node(0, 0)) {
            StringBuilder flood = new StringBuilder();
            for (int i = 0; i < 2000; i++) {
                flood.append("mg ").append(Keys.key(i)).append(" v O").append(i).append(" Pc=seg-text,d=1000\r\n");
            }
            node.say(flood.toString());
            Await.until("the node falls", () -> !fleet.verdict().held());
        }
        assertThat(fleet.verdict().breaches()).containsOnlyKeys(Oracle.Rule.PUSHED_OVER);
        assertThatThrownBy(() -> node(0, 0)).isInstanceOf(IOException.class);
    }

    @Test
    void aSpoiltAnswerIsNotTheOneThatWasMadeForTheRequest() throws Exception {
        start(QUICK.withHeld(1));
        fault(Fault.Action.SPOIL, "node-0", 60_000, 1);
        for (int i = 0; i < 12; i++) {
            try (Peer node = node(0, 0)) {
                String line = node.read(KEY, "1").line();
                if (line.startsWith("VA") && line.contains(" O1 ") && line.split(" ")[1].length() < 8) {
                    int length = Integer.parseInt(line.split(" ")[1]);
                    assertThat(node.line().length())
                            .as("a length that does not fit")
                            .isGreaterThan(length);
                }
            }
        }
    }

    @Test
    void aNodeThatKeepsVoidedCopiesShowsThemAndTheOracleSees() throws Exception {
        start(QUICK.withHeld(1));
        fault(Fault.Action.STALE, "node-0", 60_000, 0);
        try (Peer node = node(0, 0)) {
            node.read(KEY, "1").line();
            node.line();
            fleet.tell(o -> o.asked("w", KEY, true, fleet.now(), fleet.now() + 1000));
            assertThat(origin("PUT", "w", "c=fix-submit").body()).isEqualTo("v1");
            fleet.tell(o -> o.answered("w", 0, Oracle.Ending.SERVED, null, 1, fleet.now()));
            fleet.tell(o -> o.asked("2", KEY, false, fleet.now(), fleet.now() + 1000));
            assertThat(node.read(KEY, "2").line()).startsWith("VA");
            byte[] value = node.line().getBytes(StandardCharsets.ISO_8859_1);
            fleet.tell(o -> o.answered("2", 0, Oracle.Ending.SERVED, value, -1, fleet.now()));
        }
        assertThat(fleet.verdict().breaches()).containsOnlyKeys(Oracle.Rule.STALE);
    }

    @Test
    void theFrontDealsInTurnNoticesADeadProxyLateAndItsReturn() throws Exception {
        start(QUICK);
        // Two nodes serve as proxies here, as they speak the same protocol.
        List<InetSocketAddress> proxies =
                List.of(fleet.nodes(0).get("node-0"), fleet.nodes(0).get("node-1"));
        try (FrontLayer front = new FrontLayer(fleet.loop(), proxies, 100)) {
            for (int i = 0; i < 4; i++) {
                try (Peer client = new Peer(front.address())) {
                    assertThat(client.say("mn\r\n").line()).isEqualTo("MN");
                }
            }
            assertThat(fleet.on(front::shares))
                    .extracting(FrontLayer.Share::dealt)
                    .containsExactly(2L, 2L);
            fault(Fault.Action.RESTART, "node-0", 1000, 0);
            int[] ended = {0};
            Await.until("the front leaves it out", () -> {
                try (Peer client = new Peer(front.address())) {
                    ended[0] += client.say("mn\r\n").line() == null ? 1 : 0; // assigned to the dead proxy
                }
                return !fleet.on(front::shares).get(0).used();
            });
            assertThat(ended[0]).isPositive();
            try (Peer client = new Peer(front.address());
                    Peer next = new Peer(front.address())) {
                assertThat(client.say("mn\r\n").line()).isEqualTo("MN");
                assertThat(next.say("mn\r\n").line()).isEqualTo("MN");
            }
            Await.until(
                    "the proxy is back", () -> fleet.on(front::shares).get(0).used());
            long before = fleet.on(front::shares).get(0).dealt();
            try (Peer client = new Peer(front.address());
                    Peer next = new Peer(front.address())) {
                assertThat(client.say("mn\r\n").line()).isEqualTo("MN");
                assertThat(next.say("mn\r\n").line()).isEqualTo("MN");
            }
            assertThat(fleet.on(front::shares).get(0).dealt()).isEqualTo(before + 1);
        }
    }
}
