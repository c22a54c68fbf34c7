package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.drain.DrainStateMachine;
import cacheproxy.proxy.lifecycle.TakeoverSnapshot;
import cacheproxy.routing.EndpointHealthRecord;
import cacheproxy.routing.HotKey;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.LoadCount;
import cacheproxy.state.RecordKind;
import cacheproxy.state.StoredRecord;
import cacheproxy.takeover.HandoverStateMachine.Phase;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.io.BufferedReader;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Formats that processes of other versions and operators' files depend on: the state line of a takeover, the lines of
 * the handover protocol and the start configuration match the recorded texts.
 */
@Timeout(60)
class LifecycleFormatsTest {
    private static final Path FORMS = Path.of("src/test/resources/formats");

    @TempDir
    private Path folder;

    private static TakeoverSnapshot snapshot() {
        JsonArray hosts = new JsonArray();
        hosts.add(ProxyFixture.host("s-0000beef", "node-fast", "127.0.0.1:9", "draining"));
        LearnedState learned = new LearnedState(
                1,
                2,
                3,
                0,
                new LoadCount(4, 5),
                new LoadCount(6, 7),
                8,
                List.of(new HotKey(-1, 9)),
                List.of(new EndpointHealthRecord(-5, 0, 1, 1.7e12, 0)));
        Map<RecordKind, StoredRecord> records = new EnumMap<>(RecordKind.class);
        records.put(RecordKind.INCARNATION, new StoredRecord(RecordKind.INCARNATION, 1.7e12, new JsonPrimitive(4)));
        records.put(RecordKind.ZONE_STATES, new StoredRecord(RecordKind.ZONE_STATES, 1.7e12, new JsonObject()));
        records.put(RecordKind.OPERATOR_ORDERS, new StoredRecord(RecordKind.OPERATOR_ORDERS, 1.7e12, new JsonObject()));
        return new TakeoverSnapshot(ProxyFixture.list(43, true, hosts), Map.of("", learned), records);
    }

    private static String recorded(String name) throws Exception {
        return Files.readString(FORMS.resolve(name)).strip();
    }

    @Test
    void takeoverStateIsWrittenAsRecorded() throws Exception {
        String line = recorded("takeover-state.json");
        assertThat(snapshot().toJson()).isEqualTo(line);
        assertThat(TakeoverSnapshot.parse(line)).isEqualTo(snapshot());
    }

    /** The old process accepts the recorded lines, in this order, on the socket of this name. */
    @Test
    void theOldProcessAcceptsTheRecordedLines() throws Exception {
        List<String> lines = recorded("handover-lines.txt").lines().toList();
        try (ProxyFixture fixture = new ProxyFixture().sharedFolder(folder).start();
                SocketChannel successor = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            successor.connect(UnixDomainSocketAddress.of(folder.resolve("takeover")));
            BufferedReader answers = new BufferedReader(Channels.newReader(successor, StandardCharsets.UTF_8));
            say(successor, lines.get(0));
            assertThat(answers.readLine()).startsWith("{\"v\":1,\"list\":{");
            say(successor, lines.get(1));
            awaitPhase(fixture, Phase.SOCKET_PASSED);
            say(successor, lines.get(2));
            awaitPhase(fixture, Phase.SUCCESSOR_SERVES);
            assertThat(lines).hasSize(3);
        }
    }

    /** The new process sends the recorded lines; it requests the socket once it has read the state. */
    @Test
    void theNewProcessSendsTheRecordedLines() throws Exception {
        List<String> lines = recorded("handover-lines.txt").lines().toList();
        CompletableFuture<List<String>> received = new CompletableFuture<>();
        try (ServerSocketChannel old = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            old.bind(UnixDomainSocketAddress.of(folder.resolve("takeover")));
            Thread oldProcess = new Thread(() -> {
                try (SocketChannel successor = old.accept()) {
                    BufferedReader in = new BufferedReader(Channels.newReader(successor, StandardCharsets.UTF_8));
                    String first = in.readLine();
                    say(successor, recorded("takeover-state.json"));
                    received.complete(List.of(first, in.readLine()));
                } catch (Exception e) {
                    received.completeExceptionally(e);
                }
            });
            oldProcess.start();
            try (ProxyFixture fixture = new ProxyFixture().sharedFolder(folder).start()) {
                assertThat(received.get(20, TimeUnit.SECONDS)).isEqualTo(lines.subList(0, 2));
            }
            oldProcess.join();
        }
    }

    private static void say(SocketChannel to, String line) throws Exception {
        ByteBuffer bytes = ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8));
        while (bytes.hasRemaining()) {
            to.write(bytes);
        }
    }

    private static void awaitPhase(ProxyFixture fixture, Phase phase) {
        Await.until(
                "the handover is " + phase,
                () -> fixture.onEventLoop(() -> fixture.proxy.status().handoverPhase()) == phase);
    }

    @Test
    void aStartConfigurationInTheOperatorsFormatIsReadAsRecorded() throws Exception {
        JsonObject json = JsonParser.parseString(Files.readString(Path.of("src/test/resources/config.json")))
                .getAsJsonObject();
        json.add("peers", JsonParser.parseString("[\"127.0.0.1:7001\", \"127.0.0.1:7002\"]"));
        json.addProperty("peer_listen", "127.0.0.1:7001");
        json.addProperty("peers_all", "127.0.0.1:7000");
        json.addProperty("operator", "127.0.0.1:7100");
        assertThat(text(Config.parse(json))).isEqualTo(recorded("start-configuration.txt"));
        for (String optional :
                new String[] {"peers", "peer_listen", "peers_all", "operator", "name", "limits", "known"}) {
            json.remove(optional);
        }
        assertThat(text(Config.parse(json))).isEqualTo(recorded("start-configuration-least.txt"));
    }

    @Test
    void phasesOfADrainAndOfAHandoverAreNamedInTheStatus() {
        assertThat(DrainStateMachine.Phase.values())
                .extracting(DrainStateMachine.Phase::statusName)
                .containsExactly("serving", "draining", "drained", "expired");
        assertThat(Phase.values())
                .extracting(Phase::statusName)
                .containsExactly("alone", "offered", "taken", "served", "retiring", "ending");
    }

    private static String text(Config c) {
        Map<String, Object> values = new TreeMap<>();
        values.put("name", c.name());
        values.put("listen", c.listen());
        values.put("discovery", c.discovery());
        values.put("seed", Long.toHexString(c.seed()));
        values.put("limits.cores", c.cores());
        values.put("limits.memory_mb", c.memoryMb());
        values.put("limits.sockets", c.sockets());
        values.put("peer_listen", String.valueOf(c.peerListen()));
        values.put("peers", c.peers());
        values.put("peers_all", String.valueOf(c.peersBroadcast()));
        values.put("known", String.valueOf(c.initialEndpointList()));
        values.put("settings.zones", c.zones());
        values.put("settings.kinds", c.kinds());
        values.put("settings.caps.idle-close", c.idleCloseMs());
        values.put("settings.caps.streams-per-conn", c.streamsPerConnection());
        values.put("operator", String.valueOf(c.adminAddress()));
        StringBuilder text = new StringBuilder();
        values.forEach(
                (key, value) -> text.append(key).append(" = ").append(value).append('\n'));
        return text.toString().strip();
    }
}
