package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.gossip.Envelope;
import cacheproxy.metrics.Metric;
import cacheproxy.proxy.lifecycle.ClassOutcomes;
import cacheproxy.proxy.lifecycle.FleetFeatures;
import cacheproxy.proxy.lifecycle.Proxy;
import cacheproxy.proxy.peer.PeerMessageKind;
import cacheproxy.proxy.upstream.UpstreamServer;
import cacheproxy.routing.EndpointSignal;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** One proxy on real sockets with 1,024 servers and 1,024 peers. */
@Timeout(120)
class LargeFleetTest {
    private static final int SERVERS = 1024;
    private static final int PEERS = 1024;
    private static final int CLASSES = 1024;
    private static final int ZONES = 1024;
    private static final int CLIENTS = 1024;
    private static final int SOCKETS = 300;
    /** Less than the 1 s after which the kernel first retransmits a SYN. */
    private static final int CONNECT_MS = 900;
    /** Enough keys that each server ranks first for several of them. */
    private static final int READS = 12 * SERVERS;

    @TempDir
    private Path folder;

    private final SplittableRandom random = new SplittableRandom(11);
    /** Request ids are unique. */
    private int lastId;

    private static FakeServer node() throws Exception {
        return FakeServer.node(line -> "VA 5 O" + FakeServer.id(line) + "\r\nhello\r\n");
    }

    private static ProxyFixture fixture(FakeServer node) {
        ProxyFixture fixture = new ProxyFixture();
        JsonObject limits = new JsonObject();
        limits.addProperty("sockets", SOCKETS);
        fixture.config.add("limits", limits);
        fixture.parts.add(node);
        return fixture;
    }

    /** Reads this many keys, one at a time; returns how many were served. */
    private int served(ProxyFixture fixture, int reads) throws Exception {
        int served = 0;
        try (ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < reads; i++) {
                client.send("mg %016x v O%d Pc=text,d=20000\r\n".formatted(random.nextLong(), ++lastId));
                String line = client.line();
                if (line.startsWith("VA 5 ")) {
                    client.line();
                    served++;
                }
            }
        }
        return served;
    }

    /**
     * With fewer descriptors than servers, a server without a connection takes over the descriptor of the connection
     * that has been idle longest. Guards against the first servers keeping theirs, so that the others are unreachable.
     */
    @Test
    void eachOf1024ServersIsReachedWithFewerDescriptors() throws Exception {
        FakeServer node = node();
        try (ProxyFixture fixture = fixture(node)) {
            LargeList.hosts(SERVERS, i -> node.dial(), node.dial()).forEach(fixture::host);
            fixture.start();
            assertThat(served(fixture, READS)).isEqualTo(READS);
            List<UpstreamServer> nodes = fixture.onEventLoop(
                    () -> fixture.proxy.dispatcher().servers().cacheNodes());
            assertThat(nodes).hasSize(SERVERS).allMatch(u -> u.pool.openedConnections() > 0);
            Await.until(
                    "no more connections than descriptors",
                    () -> fixture.onEventLoop(() -> fixture.proxy.status().upstreamConnections()) <= SOCKETS / 3);
            assertThat(fixture.onEventLoop(() -> fixture.proxy.status().ejectedNodes()))
                    .as("ejected nodes")
                    .isZero();
        }
    }

    /**
     * A list of 1,024 other servers replaces the first, changes to most of it are applied, and requests follow both.
     */
    @Test
    void aWholeListOf1024AndChangesAreApplied() throws Exception {
        FakeServer before = node();
        FakeServer after = node();
        CountDownLatch change = new CountDownLatch(1);
        FakeServer discovery = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                if (request.contains("since=41&")) {
                    JsonArray others = LargeList.hosts(SERVERS, i -> after.dial(), after.dial());
                    c.sendHttp(200, "", ProxyFixture.list(42, true, others).toString());
                } else if (request.contains("since=42&")) {
                    change.await();
                    c.sendHttp(
                            200,
                            "",
                            ProxyFixture.list(43, false, changes(after)).toString());
                } else {
                    c.awaitEnd();
                }
            }
        });
        try (ProxyFixture fixture = fixture(before).discovery(discovery).set("guarantees.ask-within", "200.0")) {
            fixture.parts.add(after);
            for (int i = 0; i < SERVERS; i++) {
                fixture.host(ProxyFixture.host("s-%08x".formatted(5000 + i), "node-fast", before.dial(), "up"));
            }
            fixture.start();
            Await.until(
                    "the complete list is in use",
                    () -> known(fixture).contains(1) && !known(fixture).contains(5000));
            assertThat(known(fixture)).hasSize(SERVERS);
            before.commands.clear();
            assertThat(served(fixture, SERVERS)).isEqualTo(SERVERS);
            assertThat(after.commands).hasSize(SERVERS);
            assertThat(before.commands).isEmpty();
            change.countDown();
            Await.until("the changes are in use", () -> known(fixture).size() == SERVERS / 4 + SERVERS / 8);
            assertThat(served(fixture, SERVERS)).isEqualTo(SERVERS);
        }
    }

    /** Three of four servers are removed, and half as many as remain are added. */
    private static JsonArray changes(FakeServer node) {
        JsonArray changes = new JsonArray();
        for (int i = 0; i < SERVERS; i++) {
            if (i % 4 != 0) {
                changes.add(ProxyFixture.host(LargeList.name(i), "node-fast", node.dial(), "removed"));
            }
        }
        for (int i = 0; i < SERVERS / 8; i++) {
            changes.add(ProxyFixture.host(LargeList.name(SERVERS + i), "node-fast", node.dial(), "up"));
        }
        return changes;
    }

    private static Set<Integer> known(ProxyFixture fixture) {
        Set<Integer> ids = new HashSet<>();
        fixture.onEventLoop(() -> fixture.proxy.dispatcher().servers().cacheNodes())
                .forEach(u -> ids.add(u.id));
        return ids;
    }

    /** 1,024 clients connect while the event loop is blocked; none has to wait for the kernel to retransmit its SYN. */
    @Test
    void simultaneousConnectionsOf1024ClientsAreAccepted() throws Exception {
        FakeServer node = node();
        CountDownLatch come = new CountDownLatch(1);
        try (ProxyFixture fixture = fixture(node)) {
            fixture.config.getAsJsonObject("limits").addProperty("sockets", 4 * CLIENTS);
            fixture.node(node).start();
            CountDownLatch busy = new CountDownLatch(1);
            fixture.proxy.loop().submit(() -> {
                busy.countDown();
                come.await();
                return null;
            });
            busy.await();
            try {
                for (int i = 0; i < CLIENTS; i++) {
                    Socket client = new Socket();
                    fixture.parts.add(client);
                    client.connect(
                            new InetSocketAddress(
                                    "127.0.0.1", fixture.proxy.address().getPort()),
                            CONNECT_MS);
                    // A silent client would be closed if the last of them is accepted late.
                    client.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
                }
            } finally {
                come.countDown();
            }
            Await.until(
                    "all clients are connected",
                    () -> fixture.onEventLoop(() -> fixture.proxy.status().clientConnections()) == CLIENTS);
        }
    }

    /** Each of 1,024 classes and tenants can be requested, and each class is counted. */
    @Test
    void eachOf1024ClassesAndTenantsIsServed() throws Exception {
        FakeServer node = node();
        try (ProxyFixture fixture = fixture(node)) {
            fixture.set("classes.count", Integer.toString(CLASSES)).set("tenants.count", Integer.toString(CLASSES));
            for (int i = 0; i < CLASSES; i++) {
                String at = "classes." + i + ".";
                fixture.set(at + "name", "c" + i)
                        .set(at + "idempotency", "retryable")
                        .set(at + "promise", "20000.0")
                        .set(at + "deadline", "30000.0")
                        .set(at + "gain", "1.0")
                        .set(at + "late-share", "0.2")
                        .set(at + "stream", "false");
                fixture.set("tenants." + i + ".name", "t" + i).set("tenants." + i + ".quota-per-s", "10.0");
            }
            fixture.node(node).start();
            try (ProxyFixture.Client client = fixture.client()) {
                for (int i = 0; i < CLASSES; i++) {
                    client.send("mg %x v O%d Pc=c%d,t=t%d,d=20000\r\n".formatted(i, i, i, i));
                    assertThat(client.line()).startsWith("VA 5 ");
                    client.line();
                }
            }
            Map<String, ClassOutcomes> classes =
                    fixture.onEventLoop(() -> fixture.proxy.status().outcomesByClass());
            assertThat(classes).hasSize(CLASSES);
            assertThat(classes.values()).allMatch(e -> e.succeeded() == 1);
        }
    }

    /**
     * An instance in the last of 1,024 zones serves from all of them, and takes part in membership and zone failover.
     */
    @Test
    void anInstanceInTheLastOf1024ZonesServesAndJoins() throws Exception {
        FakeServer node = node();
        try (ProxyFixture fixture = fixture(node)) {
            LargeList.peers(fixture.config, PEERS);
            fixture.config.addProperty("peer_listen", "127.0.0.1:0");
            String zones = IntStream.range(0, ZONES).mapToObj(z -> "z" + z).collect(Collectors.joining(","));
            fixture.set("zones", zones).set("locality", Integer.toString(ZONES - 1));
            for (int i = 0; i < ZONES; i++) {
                JsonObject host = ProxyFixture.host(LargeList.name(i), "node-fast", node.dial(), "up");
                host.addProperty("site", "z" + i);
                fixture.host(host);
            }
            fixture.start();
            fixture.proxy.joinFleet(new FleetFeatures(true, true, false));
            assertThat(served(fixture, SERVERS)).isEqualTo(SERVERS);
            assertThat(fixture.onEventLoop(
                            () -> fixture.proxy.dispatcher().servers().cacheNodesInZone(ZONES - 1)))
                    .isEqualTo(1);
            assertThat(fixture.onEventLoop(() -> fixture.proxy.fleetView())).isNotNull();
            assertThat(fixture.onEventLoop(() -> fixture.proxy.zoneDecisions())).isNotNull();
        }
    }

    /** A successor without a list of its own is sent all 1,024 servers. */
    @Test
    void aSuccessorIsSentAll1024Servers() throws Exception {
        FakeServer node = node();
        try (ProxyFixture fixture = fixture(node).sharedFolder(folder)) {
            LargeList.hosts(SERVERS, i -> node.dial(), node.dial()).forEach(fixture::host);
            fixture.start();
            fixture.config.addProperty(
                    "listen", "127.0.0.1:" + fixture.proxy.address().getPort());
            fixture.config.add("known", ProxyFixture.list(0, true, new JsonArray()));
            Proxy next = Proxy.start(Config.parse(fixture.config), folder);
            fixture.parts.add(next::close);
            int discovered = next.loop()
                    .submit(() -> next.status().discoveredNodes())
                    .syncUninterruptibly()
                    .getNow();
            assertThat(discovered).isEqualTo(SERVERS);
            Await.until(
                    "the successor's report that it serves is accepted",
                    () -> fixture.onEventLoop(() -> fixture.proxy.status().completedHandovers()) == 1);
        }
    }

    /** Each silent node is reported as far as the budget goes, though there are more than were remembered before. */
    @Test
    void eachOf1024SilentNodesIsReported() throws Exception {
        FakeServer node = node();
        try (ProxyFixture fixture = fixture(node)) {
            LargeList.peers(fixture.config, PEERS);
            fixture.config.addProperty("peer_listen", "127.0.0.1:0");
            LargeList.hosts(SERVERS, i -> node.dial(), node.dial()).forEach(fixture::host);
            fixture.start();
            fixture.proxy.joinFleet(new FleetFeatures(true, false, false));
            fixture.onEventLoop(() -> {
                Dispatcher core = fixture.proxy.dispatcher();
                long before = core.counters().count(Metric.PEER_MESSAGES_SENT)
                        + fixture.proxy.fleetView().droppedDatagrams();
                core.servers()
                        .cacheNodes()
                        .forEach(u -> core.routingActions().reportSignal(u.id, EndpointSignal.UNRESPONSIVE));
                assertThat(core.counters().count(Metric.PEER_MESSAGES_SENT)
                                + fixture.proxy.fleetView().droppedDatagrams()
                                - before)
                        .isEqualTo(SERVERS);
                return null;
            });
        }
    }

    /** Messages of the last of 1,024 peers arrive under its number, and those to that number reach it. */
    @Test
    void messagesFromAndToTheLastOf1024PeersArrive() throws Exception {
        FakeServer node = node();
        InetAddress local = InetAddress.getByName("127.0.0.1");
        try (DatagramSocket last = new DatagramSocket(0, local);
                ProxyFixture fixture = fixture(node)) {
            LargeList.peers(fixture.config, PEERS);
            fixture.config.addProperty("peer_listen", "127.0.0.1:0");
            fixture.config
                    .getAsJsonArray("peers")
                    .set(PEERS - 1, new JsonPrimitive("127.0.0.1:" + last.getLocalPort()));
            fixture.node(node).start();
            assertThat(served(fixture, 1)).isEqualTo(1);
            byte[] bytes = Envelope.encode(List.of(
                    new Envelope.Item(PeerMessageKind.LOAD_BALANCER.code(), PeerMessageKind.VERSION, new byte[] {0})));
            last.send(new DatagramPacket(bytes, bytes.length, fixture.proxy.peerAddress()));
            Counters counters = fixture.proxy.dispatcher().counters();
            Await.until(
                    "the message has been received",
                    () -> fixture.onEventLoop(() -> counters.count(Metric.PEER_MESSAGES_RECEIVED)) == 1);
            fixture.onEventLoop(() -> {
                fixture.proxy.dispatcher().routingActions().sendToPeer(PEERS - 1, new byte[] {0});
                return null;
            });
            last.setSoTimeout(20_000);
            last.receive(new DatagramPacket(new byte[Envelope.MAX_DATAGRAM_BYTES], Envelope.MAX_DATAGRAM_BYTES));
        }
    }
}
