package damsonworks.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonArray;
import damsonworks.figures.Work;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Messages between proxies, on loopback datagrams. */
class PeerSocketTest {
    private static String text(DatagramSocket socket) {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    private static String receive(DatagramSocket socket) throws Exception {
        socket.setSoTimeout(20_000);
        DatagramPacket packet = new DatagramPacket(new byte[1000], 1000);
        socket.receive(packet);
        return new String(packet.getData(), 0, packet.getLength());
    }

    @Test
    void messagesGoToOneOrAllAndComeFromPeersOnly() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        InetAddress local = InetAddress.getByName("127.0.0.1");
        try (DatagramSocket peer = new DatagramSocket(0, local); DatagramSocket all = new DatagramSocket(0, local);
                DatagramSocket stranger = new DatagramSocket(0, local)) {
            Fleet fleet = new Fleet();
            JsonArray peers = new JsonArray();
            peers.add("127.0.0.1:1");
            peers.add(text(peer));
            fleet.config.add("peers", peers);
            fleet.config.addProperty("peers_all", text(all));
            fleet.config.addProperty("peer_listen", "127.0.0.1:0");
            Config config = Config.parse(fleet.config);
            EventLoop loop = group.next();
            Counters counters = new Counters();
            LinkedBlockingQueue<String> heard = new LinkedBlockingQueue<>();
            PeerSocket socket = new PeerSocket(loop, config, (from, message) -> heard.add(from + new String(message)),
                    counters);
            socket.send(1, "to one".getBytes());
            assertThat(receive(peer)).isEqualTo("to one");
            socket.send(-1, "to all".getBytes());
            assertThat(receive(all)).isEqualTo("to all");
            socket.send(1, new byte[257]);
            socket.send(1, "after".getBytes());
            assertThat(receive(peer)).isEqualTo("after");
            stranger.send(new DatagramPacket("lie".getBytes(), 3, socket.address()));
            peer.send(new DatagramPacket(new byte[300], 300, socket.address()));
            peer.send(new DatagramPacket("hi".getBytes(), 2, socket.address()));
            assertThat(heard.poll(20, TimeUnit.SECONDS)).isEqualTo("1hi");
            assertThat(counters.done(Work.MESSAGES_SENT)).isEqualTo(3);
            assertThat(counters.done(Work.MESSAGES_HEARD)).isEqualTo(1);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }
}
