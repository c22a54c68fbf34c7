package cacheproxy.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.Await;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests each kind of link condition with a probe over the affected link and, as a control, one over another. */
@Timeout(60)
class LinksTest {
    private static final String KEY = Keys.key(1);
    private static final Set<String> PROXY = Set.of("proxy-0");
    private static final Set<String> NODE = Set.of("node-0");
    private static final double LONG = 3_600_000;

    private EmulatedFleet fleet;

    @BeforeEach
    void start() {
        fleet = new EmulatedFleet(FleetSpec.standard(1, 2, 1)
                .withWork(0, 0)
                .withHeld(1)
                .withTimes(0, 60_000, 100, 50)
                .withLayout(new Layout(List.of("a", "b"), 0, true, Set.of())));
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    private Peer node(int proxy) throws IOException {
        return new Peer(fleet.nodes(proxy).get("node-0"));
    }

    private void fault(Set<String> at, Set<String> from, boolean oneWay, LinkConditions way, double forMs) {
        fleet.play(new LinkFault("test", 0, forMs, at, from, oneWay, way));
        fleet.on(() -> true); // waits until the fault is active
    }

    private static void served(Peer peer, String id) throws IOException {
        assertThat(peer.read(KEY, id).line()).endsWith(" O" + id + " h1");
        assertThat(peer.line()).isNotEmpty();
    }

    private static void neverComesUp(InetSocketAddress to) {
        assertThatThrownBy(() -> {
                    try (Socket socket = new Socket()) {
                        socket.connect(to, 200);
                    }
                })
                .isInstanceOf(SocketTimeoutException.class);
    }

    private long attempts(int proxy) {
        return fleet.rows().stream()
                .filter(r -> r.proxy() == proxy)
                .mapToLong(r -> r.counts().getOrDefault(Series.What.ATTEMPTS, 0L))
                .sum();
    }

    @Test
    void whatIsCutSaysNothingAndNoNewConnectionComesUpUntilItIsWhole() throws Exception {
        InetSocketAddress to = fleet.nodes(0).get("node-0");
        try (Peer cut = node(0);
                Peer other = node(1)) {
            served(cut, "1");
            fault(NODE, PROXY, false, LinkConditions.CUT, 1500);
            cut.read(KEY, "2");
            neverComesUp(to);
            served(other, "3");
            assertThat(cut.heard()).isFalse();
            assertThat(attempts(0)).as("requests do not arrive").isEqualTo(1);
            assertThat(cut.line())
                    .isEqualTo("VA 400 O2 h1"); // delivered after the partition, as by a TCP retransmission
            try (Peer next = new Peer(to)) {
                served(next, "4");
            }
        }
        assertThat(attempts(0)).isEqualTo(3);
    }

    @Test
    void whatDiesBehindACutRefusesOnlyOnceTheWayIsWhole() throws Exception {
        InetSocketAddress to = fleet.nodes(0).get("node-0");
        fault(NODE, PROXY, false, LinkConditions.CUT, 1500);
        fleet.play(List.of(new Fault(0, "node-0", Fault.Action.LEAVE, 0, 0)), (p, f) -> {})
                .get();
        neverComesUp(to);
        Await.until("it refuses", () -> {
            try (Socket socket = new Socket()) {
                socket.connect(to, 200);
                return false;
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            }
        });
    }

    @Test
    void onAOneWayCutRequestsArriveAndAnswersDoNot() throws Exception {
        try (Peer cut = node(0);
                Peer other = node(1)) {
            served(cut, "0"); // the connection is established by then
            fault(NODE, PROXY, true, LinkConditions.CUT, 1500);
            cut.read(KEY, "1");
            Await.until("it has come", () -> attempts(0) == 2);
            served(other, "2");
            assertThat(cut.heard()).isFalse();
            assertThat(cut.line()).isEqualTo("VA 400 O1 h1");
        }
    }

    @Test
    void aSlowLinkTakesItsTimeAndKeepsTheOrder() throws Exception {
        try (Peer slow = node(0);
                Peer other = node(1)) {
            fault(NODE, PROXY, false, new LinkConditions(false, 60, 40, 0, 0, 0, 0, 0), LONG);
            long before = System.nanoTime();
            for (int i = 0; i < 5; i++) {
                slow.read(KEY, "s" + i);
            }
            served(other, "o");
            assertThat(slow.heard()).isFalse();
            for (int i = 0; i < 5; i++) {
                assertThat(slow.line()).isEqualTo("VA 400 Os" + i + " h1");
                slow.line();
            }
            assertThat(System.nanoTime() - before).isGreaterThan(120_000_000L);
        }
    }

    @Test
    void whatIsLostOnAConnectionComesLaterByAResend() throws Exception {
        try (Peer lossy = node(0)) {
            fault(NODE, PROXY, true, new LinkConditions(false, 0, 0, 0.5, 0, 0, 0, 0), LONG);
            long before = System.nanoTime();
            for (int i = 0; i < 12; i++) {
                served(lossy, "l" + i);
            }
            assertThat(System.nanoTime() - before).isGreaterThan(200_000_000L);
        }
    }

    @Test
    void anAnswerStandsStillHalfWayUntilTheLinkIsSound() throws Exception {
        try (Peer held = node(0);
                Peer other = node(1)) {
            fault(NODE, PROXY, false, new LinkConditions(false, 0, 0, 0, 0, 0, 1, 0), 1500);
            held.read(KEY, "1");
            assertThat(held.line()).as("its first half comes").isEqualTo("VA 400 O1 h1");
            served(other, "2");
            assertThat(held.line()).hasSize(400);
        }
    }

    @Test
    void aConnectionIsResetInPlaceOfAnAnswer() throws Exception {
        fault(NODE, PROXY, false, new LinkConditions(false, 0, 0, 0, 0, 0, 0, 1), LONG);
        try (Peer reset = node(0);
                Peer other = node(1)) {
            assertThatThrownBy(() -> reset.read(KEY, "1").line()).isInstanceOf(SocketException.class);
            assertThat(attempts(0)).as("it has run").isEqualTo(1);
            served(other, "2");
        }
    }

    @Test
    void originAndDiscoveryAreCutOffForOneProxyAlone() throws Exception {
        fault(PROXY, Set.of("origin", "discovery"), false, LinkConditions.CUT, LONG);
        neverComesUp(fleet.discovery(0, 0));
        neverComesUp(fleet.discovery(0, 1));
        neverComesUp(fleet.originAddress());
        try (Socket socket = new Socket()) {
            socket.connect(fleet.discovery(1, 0), 10_000);
        }
    }

    // ---- datagrams

    private void say(DatagramSocket from, InetSocketAddress to, int what) throws IOException {
        from.send(new DatagramPacket(new byte[] {(byte) what}, 1, to));
    }

    /** Returns the datagrams that one proxy receives from another under the given conditions. */
    private List<Integer> heard(LinkConditions way, int many) throws Exception {
        List<Integer> heard = new ArrayList<>();
        try (DatagramSocket a = new DatagramSocket(fleet.peers().listen(0));
                DatagramSocket b = new DatagramSocket(fleet.peers().listen(1))) {
            LinkFault fault = new LinkFault("test", 0, LONG, PROXY, Set.of("proxy-1"), true, way);
            fleet.play(fault);
            fleet.on(() -> true);
            for (int i = 0; i < many; i++) {
                say(a, fleet.peers().peers(0).get(1), i);
            }
            // The reverse direction is not affected; by then all datagrams have been relayed.
            Await.until(
                    "all has gone",
                    () -> fleet.rows().stream()
                                    .filter(r -> r.proxy() == 0)
                                    .mapToLong(r -> r.counts().getOrDefault(Series.What.MESSAGES, 0L))
                                    .sum()
                            == many);
            say(b, fleet.peers().all(1), 99);
            a.setSoTimeout(20_000);
            DatagramPacket back = new DatagramPacket(new byte[10], 10);
            a.receive(back);
            assertThat(back.getSocketAddress()).isEqualTo(fleet.peers().peers(0).get(1));
            b.setSoTimeout(300);
            while (true) {
                DatagramPacket p = new DatagramPacket(new byte[10], 10);
                try {
                    b.receive(p);
                } catch (SocketTimeoutException e) {
                    return heard;
                }
                assertThat(p.getSocketAddress())
                        .isEqualTo(fleet.peers().peers(1).get(0));
                heard.add((int) p.getData()[0]);
            }
        }
    }

    @Test
    void datagramsComeFromTheirSendersAddress() throws Exception {
        assertThat(heard(LinkConditions.OPEN, 3)).containsExactly(0, 1, 2);
    }

    @Test
    void datagramsAreCut() throws Exception {
        assertThat(heard(LinkConditions.CUT, 3)).isEmpty();
    }

    @Test
    void halfOfTheDatagramsAreLost() throws Exception {
        assertThat(heard(new LinkConditions(false, 0, 0, 0.5, 0, 0, 0, 0), 100)).hasSizeBetween(30, 70);
    }

    @Test
    void datagramsComeTwice() throws Exception {
        assertThat(heard(new LinkConditions(false, 0, 0, 0, 1, 0, 0, 0), 3)).hasSize(6);
    }

    @Test
    void datagramsAreOvertaken() throws Exception {
        assertThat(heard(new LinkConditions(false, 0, 0, 0, 0, 0.5, 0, 0), 50))
                .hasSize(50)
                .isNotEqualTo(IntStream.range(0, 50).boxed().toList());
    }
}
