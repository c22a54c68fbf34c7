package cacheproxy.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.gossip.Envelope;
import cacheproxy.metrics.Metric;
import cacheproxy.proxy.peer.PeerDatagramSocket;
import cacheproxy.proxy.peer.PeerMessageKind;
import com.google.gson.JsonArray;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Messages between proxies, as datagrams on loopback. */
class PeerDatagramSocketTest {
    private static String text(DatagramSocket socket) {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    private static String receive(DatagramSocket socket) throws Exception {
        socket.setSoTimeout(20_000);
        DatagramPacket packet = new DatagramPacket(new byte[1000], 1000);
        socket.receive(packet);
        Envelope.Item item = Envelope.decode(Arrays.copyOf(packet.getData(), packet.getLength()))
                .get(0);
        return item.kind() + new String(item.body(), UTF_8);
    }

    private static byte[] sealed(int kind, int version, String text) {
        return Envelope.encode(List.of(new Envelope.Item(kind, version, text.getBytes(UTF_8))));
    }

    private static void send(DatagramSocket from, byte[] bytes, PeerDatagramSocket to) throws Exception {
        from.send(new DatagramPacket(bytes, bytes.length, to.address()));
    }

    @Test
    void messagesGoToOneOrAllAndComeFromPeersOnly() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        InetAddress local = InetAddress.getByName("127.0.0.1");
        try (DatagramSocket peer = new DatagramSocket(0, local);
                DatagramSocket all = new DatagramSocket(0, local);
                DatagramSocket stranger = new DatagramSocket(0, local)) {
            ProxyFixture fixture = new ProxyFixture();
            JsonArray peers = new JsonArray();
            peers.add("127.0.0.1:1");
            peers.add(text(peer));
            fixture.config.add("peers", peers);
            fixture.config.addProperty("peers_all", text(all));
            fixture.config.addProperty("peer_listen", "127.0.0.1:0");
            Config config = Config.parse(fixture.config);
            EventLoop loop = group.next();
            Counters counters = new Counters();
            LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
            PeerDatagramSocket socket = new PeerDatagramSocket(
                    loop,
                    Transport.BEST.datagram(),
                    config.peerAddresses(),
                    (from, kind, body) -> received.add(from + kind.name() + new String(body, UTF_8)),
                    counters::increment);
            socket.send(1, PeerMessageKind.ENDPOINT_LIST, "to one".getBytes(UTF_8));
            assertThat(receive(peer)).isEqualTo("1to one");
            socket.send(-1, PeerMessageKind.LOAD_BALANCER, "to all".getBytes(UTF_8));
            assertThat(receive(all)).isEqualTo("2to all");
            socket.send(1, PeerMessageKind.ENDPOINT_LIST, new byte[Envelope.MAX_BODY_BYTES + 1]);
            socket.send(1, PeerMessageKind.MEMBERSHIP, "after".getBytes(UTF_8));
            assertThat(receive(peer)).isEqualTo("3after");
            send(stranger, sealed(1, 0, "lie"), socket);
            send(peer, new byte[300], socket);
            send(peer, "of an older program".getBytes(UTF_8), socket);
            send(peer, sealed(30, 0, "of a kind to come"), socket);
            send(peer, sealed(1, 5, "of a version to come"), socket);
            send(peer, sealed(2, 0, "hi"), socket);
            assertThat(received.poll(20, TimeUnit.SECONDS)).isEqualTo("1LOAD_BALANCERhi");
            assertThat(counters.count(Metric.PEER_MESSAGES_SENT)).isEqualTo(3);
            assertThat(counters.count(Metric.PEER_MESSAGES_RECEIVED)).isEqualTo(4);
            for (int i = 0; i < 200; i++) {
                socket.send(1, PeerMessageKind.ENDPOINT_LIST, new byte[200]);
            }
            assertThat(counters.count(Metric.PEER_MESSAGES_SENT))
                    .as("send budget")
                    .isBetween(20L, 40L);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }
}
