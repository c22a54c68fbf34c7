package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.gossip.EndpointChange;
import cacheproxy.gossip.EndpointListDelta;
import cacheproxy.gossip.Envelope;
import cacheproxy.gossip.PeerMessage;
import cacheproxy.proxy.peer.PeerMessageKind;
import cacheproxy.routing.EndpointState;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** How the proxy handles discovery's answers and its peers' list changes, on loopback sockets. */
class DiscoveryClientTest {
    private static final int HOLD_MS = 15_000;
    private static final AtomicInteger ASKED = new AtomicInteger();

    private static FakeServer hits() throws Exception {
        return FakeServer.node(line -> "VA 5 O" + FakeServer.id(line) + " h1\r\nhello\r\n");
    }

    /** The JSON text of a list of version 43 with this node only. */
    private static String list(FakeServer node, boolean whole) {
        JsonArray hosts = new JsonArray();
        hosts.add(ProxyFixture.host("s-0000beef", "node-fast", node.dial(), "up"));
        return ProxyFixture.list(43, whole, hosts).toString();
    }

    /** Whether a new request, with an id of its own, is served. */
    private static boolean served(ProxyFixture fixture) throws Exception {
        String id = "r" + ASKED.incrementAndGet();
        try (ProxyFixture.Client client = fixture.client()) {
            return client.read(id).line().equals("VA 5 O" + id);
        }
    }

    @Test
    void aWatchBringsChangesAndContinuesFromTheirVersion() throws Exception {
        FakeServer node = hits();
        FakeServer discovery = new FakeServer(c -> {
            c.request();
            c.sendHttp(200, "", list(node, false));
            c.request();
            c.awaitEnd();
        });
        try (ProxyFixture fixture = new ProxyFixture()
                .discovery(discovery)
                .set("caps.connect-timeout", "200.0")
                .start()) {
            assertThat(discovery.nextCommand()).startsWith("GET /discovery/hosts?since=41&timeout_ms=");
            assertThat(discovery.nextCommand()).startsWith("GET /discovery/hosts?since=43&timeout_ms=");
            assertThat(served(fixture)).isTrue();
            assertThat(discovery.accepted).hasSize(1);
        }
        node.close();
    }

    /** A proxy with one peer, whose datagrams are sent from this socket. */
    private static ProxyFixture withPeer(FakeServer discovery, DatagramSocket peer, String mode) {
        ProxyFixture fixture = new ProxyFixture()
                .discovery(discovery)
                .set("caps.connect-timeout", "200.0")
                .set("discovery", mode);
        JsonArray peers = new JsonArray();
        peers.add("127.0.0.1:1"); // the proxy's own address
        peers.add("127.0.0.1:" + peer.getLocalPort());
        fixture.config.add("peers", peers);
        fixture.config.addProperty("peers_all", "127.0.0.1:" + peer.getLocalPort());
        fixture.config.addProperty("peer_listen", "127.0.0.1:0");
        return fixture;
    }

    private static void announceVersion(DatagramSocket peer, long version, ProxyFixture fixture) throws Exception {
        send(peer, PeerMessage.listVersionAnnouncement(version), fixture);
    }

    /**
     * Guards against a list that stays outdated until a silent watch times out, though a peer has announced a newer
     * one.
     */
    @Test
    void aSilentWatchIsFollowedByAPollOnAPeersAnnouncement() throws Exception {
        FakeServer node = hits();
        CountDownLatch silent = new CountDownLatch(1);
        FakeServer discovery = new FakeServer(c -> {
            c.request();
            if (silent.getCount() > 0) {
                silent.countDown();
                c.awaitEnd();
                return;
            }
            c.sendHttp(200, "", list(node, false));
            c.request();
            c.awaitEnd();
        });
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
                ProxyFixture fixture = withPeer(discovery, peer, "push")) {
            fixture.start();
            silent.await();
            announceVersion(peer, 43, fixture);
            Await.until("the new list is in use", () -> served(fixture));
            assertThat(discovery.accepted).hasSize(2);
        }
        node.close();
    }

    /**
     * Where all instances poll one discovery, a poll in its queue is not cancelled because a peer was answered first:
     * it would lose its place in the queue, and a fleet that does so overloads discovery.
     */
    @Test
    void aPollQueuedAtASharedDiscoveryStaysPendingOnAPeersAnnouncement() throws Exception {
        FakeServer node = hits();
        CountDownLatch asked = new CountDownLatch(1);
        FakeServer discovery = new FakeServer(c -> {
            String call = c.request();
            asked.countDown();
            c.socket.setSoTimeout(Integer.parseInt(call.replaceAll("(?s).*timeout_ms=(\\d+).*", "$1")));
            try {
                c.in.read(); // neither data nor a close may arrive while the poll may wait
            } catch (SocketTimeoutException e) {
                c.socket.setSoTimeout(0);
                c.sendHttp(200, "", list(node, false));
                c.request();
                c.awaitEnd();
            }
        });
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
                ProxyFixture fixture = withPeer(discovery, peer, "ask")) {
            fixture.start();
            asked.await();
            announceVersion(peer, 43, fixture);
            Await.until("the new list is in use", () -> served(fixture));
            assertThat(discovery.accepted).hasSize(1);
        }
        node.close();
    }

    private static void send(DatagramSocket peer, byte[] body, ProxyFixture fixture) throws Exception {
        byte[] sealed = Envelope.encode(List.of(new Envelope.Item(PeerMessageKind.ENDPOINT_LIST.code(), 0, body)));
        peer.send(new DatagramPacket(sealed, sealed.length, fixture.proxy.peerAddress()));
    }

    /** Waits for the next message about the list that the proxy sends to its peer. */
    private static byte[] receive(DatagramSocket peer) throws Exception {
        peer.setSoTimeout(20_000);
        DatagramPacket packet = new DatagramPacket(new byte[1000], 1000);
        peer.receive(packet);
        return Envelope.decode(Arrays.copyOf(packet.getData(), packet.getLength()))
                .get(0)
                .body();
    }

    /**
     * Guards against instances of a large fleet that learn of a drain only when discovery's queue admits their poll.
     */
    @Test
    void aPeersChangesAreInUseWhileDiscoveryRejectsPolls() throws Exception {
        FakeServer drained = hits();
        FakeServer other = hits();
        AtomicBoolean well = new AtomicBoolean();
        FakeServer discovery = new FakeServer(c -> {
            while (c.request() != null) {
                if (well.get()) {
                    c.sendHttp(
                            200,
                            "",
                            ProxyFixture.list(43, false, new JsonArray()).toString());
                } else {
                    c.sendHttp(503, "", "");
                }
            }
        });
        String read = "mg " + Keys.ranked(1, 2) + " v O%d Pc=text,d=20000\r\n";
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
                ProxyFixture fixture =
                        withPeer(discovery, peer, "ask").node(drained).node(other)) {
            fixture.start();
            try (ProxyFixture.Client client = fixture.client()) {
                client.send(read.formatted(1)).line();
                client.line();
                assertThat(drained.nextCommand()).contains("O1 ");
                assertThat(PeerMessage.readListQuery(receive(peer)))
                        .as("a poll has failed")
                        .isEqualTo(41);
                send(
                        peer,
                        new EndpointListDelta(
                                        41, 43, HOLD_MS, List.of(new EndpointChange(43, 1, EndpointState.DRAINING, 0)))
                                .encode(),
                        fixture);
                Await.until(
                        "the peer's word is in use",
                        () -> !fixture.onEventLoop(
                                () -> fixture.proxy.dispatcher().servers().get(1).ready));
                client.send(read.formatted(2)).line();
                client.line();
                assertThat(other.nextCommand()).contains("O2 ");
                well.set(true);
                Await.until(
                        "discovery's list of that version knows nothing of it",
                        () -> fixture.onEventLoop(
                                () -> fixture.proxy.dispatcher().servers().get(1).ready));
                client.send(read.formatted(3)).line();
                client.line();
                assertThat(drained.nextCommand()).contains("O3 ");
            }
        }
    }

    @Test
    void aPeersQueryIsAnsweredWithDiscoverysChanges() throws Exception {
        FakeServer node = hits();
        FakeServer discovery = new FakeServer(c -> {
            c.request();
            c.sendHttp(200, "", list(node, false));
            c.request();
            c.awaitEnd();
        });
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
                ProxyFixture fixture = withPeer(discovery, peer, "ask")) {
            fixture.start();
            discovery.nextCommand();
            assertThat(discovery.nextCommand()).contains("since=43&");
            send(peer, PeerMessage.listQuery(41), fixture);
            assertThat(EndpointListDelta.decode(receive(peer)))
                    .isEqualTo(new EndpointListDelta(
                            41, 43, HOLD_MS, List.of(new EndpointChange(43, 0xbeef, EndpointState.READY, 0))));
        }
        node.close();
    }

    @Test
    void anEndpointAtANewAddressGetsNothingAtItsOldOne() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch moved = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        FakeServer before = new FakeServer(c -> {
            String line = c.command();
            release.await();
            c.send("VA 5 O" + FakeServer.id(line) + " h1\r\nhello\r\n");
            c.awaitEnd();
            ended.countDown();
        });
        FakeServer after = hits();
        FakeServer discovery = new FakeServer(c -> {
            c.request();
            moved.await();
            JsonArray hosts = new JsonArray();
            hosts.add(ProxyFixture.host("s-00000001", "node-fast", after.dial(), "up"));
            c.sendHttp(200, "", ProxyFixture.list(43, false, hosts).toString());
            c.request();
            c.awaitEnd();
        });
        ProxyFixture setup = new ProxyFixture()
                .node(before)
                .discovery(discovery)
                .set("guarantees.ask-within", "200.0")
                .set("balancers", "60"); // one connection per node
        try (ProxyFixture fixture = setup.start()) {
            discovery.nextCommand();
            ProxyFixture.Client waiting = fixture.client().read("2");
            before.nextCommand();
            moved.countDown();
            assertThat(discovery.nextCommand()).contains("since=43&");
            assertThat(served(fixture)).isTrue();
            assertThat(after.commands).hasSize(1);
            release.countDown();
            assertThat(waiting.line()).isEqualTo("VA 5 O2");
            ended.await();
        }
        after.close();
    }

    @Test
    void failedPollsAndInvalidAnswersLeaveTheListAndAreRetried() throws Exception {
        FakeServer node = hits();
        JsonObject unknown = ProxyFixture.list(44, true, new JsonArray());
        unknown.getAsJsonArray("hosts").add(ProxyFixture.host("s-1", "no-such-class", "127.0.0.1:1", "up"));
        String[] bad = {"{", "[]", "{\"seq\":44,\"whole\":true,\"hosts\":[{}]}", unknown.toString()};
        CountDownLatch all = new CountDownLatch(bad.length + 2);
        FakeServer discovery = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                int call = (int) (bad.length + 2 - all.getCount());
                all.countDown();
                if (call == 0) {
                    c.sendHttp(503, "", "");
                } else if (call == 1) {
                    c.reset();
                } else if (call < bad.length + 2) {
                    c.sendHttp(200, "", bad[call - 2]);
                } else {
                    c.awaitEnd();
                }
            }
        });
        try (ProxyFixture fixture = new ProxyFixture()
                .node(node)
                .discovery(discovery)
                .set("caps.connect-timeout", "50.0")
                .set("guarantees.ask-within", "200.0")
                .start()) {
            for (int i = 0; i < bad.length + 3; i++) {
                assertThat(discovery.nextCommand())
                        .as("asked for a snapshot or for changes after the list in use")
                        .containsPattern("^GET /discovery/hosts(\\?since=41&timeout_ms=\\d+)? ");
            }
            assertThat(served(fixture)).isTrue();
        }
    }

    @Test
    void withAnAgentTheListIsWatchedFromTheStart() throws Exception {
        FakeServer node = hits();
        CountDownLatch down = new CountDownLatch(1);
        FakeServer agent = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                if (down.getCount() > 0) {
                    down.countDown();
                    c.sendHttp(503, "", "");
                } else if (request.contains("since=41")) {
                    c.sendHttp(200, "", list(node, true));
                } else {
                    c.awaitEnd();
                }
            }
        });
        try (ProxyFixture fixture =
                new ProxyFixture().discovery(agent).set("discovery", "push").start()) {
            assertThat(agent.nextCommand()).contains("since=41");
            assertThat(agent.nextCommand()).contains("since=41");
            assertThat(agent.nextCommand()).contains("since=43");
            assertThat(served(fixture)).isTrue();
        }
        node.close();
    }
}
