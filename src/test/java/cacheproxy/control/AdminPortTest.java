package cacheproxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.control.MetricSample.Kind;
import cacheproxy.proxy.Transport;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class AdminPortTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
    private final EventLoop loop = group.next();
    private final ControlRegistry registry = new ControlRegistry();
    private AdminPort port;

    @BeforeEach
    void open() throws Exception {
        registry.metrics(() -> List.of(
                new MetricSample("succeeded.read", Kind.COUNTER, 812),
                new MetricSample("outstanding", Kind.GAUGE, 14)));
        port = new AdminPort(loop, new InetSocketAddress("127.0.0.1", 0), registry);
    }

    @AfterEach
    void close() {
        port.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Socket connect(String text) throws IOException {
        Socket socket = new Socket("127.0.0.1", port.address().getPort());
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    /** Everything received until the admin port closes the connection. */
    private String send(String text) throws IOException {
        try (Socket socket = connect(text)) {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    @Test
    void commandIsAnsweredAndConnectionCloses() throws Exception {
        assertThat(send("HEALTH\r\n")).isEqualTo("OK\n");
        assertThat(send("HEALTH\n")).isEqualTo("OK\n");
        assertThat(send("DUMP\r\n"))
                .isEqualTo("edge_balancer.succeeded.read:812|c\nedge_balancer.outstanding:14|g\nEND\n");
    }

    @Test
    void handoverShowsThePhaseOfAnUpgrade() throws Exception {
        assertThat(send("HANDOVER\r\n")).isEqualTo("ERR nothing is handed over here\n");
        registry.section("handover", () -> {
            JsonObject o = new JsonObject();
            o.addProperty("phase", "served");
            return o;
        });
        assertThat(send("HANDOVER\r\n")).isEqualTo("OK served\n");
    }

    @Test
    void unknownCommandIsAnsweredWithAnError() throws Exception {
        assertThat(send("HELP\r\n"))
                .startsWith("ERR")
                .contains("DUMP, HANDOVER, HEALTH")
                .endsWith("\n");
        assertThat(send("\r\n")).startsWith("ERR");
        assertThat(send("x".repeat(AdminPort.MAX_LINE_BYTES + 10)))
                .startsWith("ERR")
                .contains("256 bytes");
    }

    @Test
    void onlyTheFirstCommandOfAConnectionIsAnswered() throws Exception {
        assertThat(send("HEALTH\r\nDUMP\r\nHEALTH\r\n")).isEqualTo("OK\n");
    }

    @Test
    void idleAndIncompleteConnectionsAreBounded() throws Exception {
        List<Socket> silent = new ArrayList<>();
        try {
            for (int i = 0; i < 300; i++) {
                silent.add(connect(i % 2 == 0 ? "" : "HEAL"));
                if (i % 50 == 0) {
                    assertThat(send("HEALTH\r\n")).isEqualTo("OK\n");
                }
            }
            Await.until(
                    "most have been closed",
                    () -> silent.stream().filter(AdminPortTest::ended).count() >= 300 - AdminPort.MAX_CONNECTIONS);
            assertThat(send("HEALTH\r\n")).isEqualTo("OK\n");
        } finally {
            for (Socket s : silent) {
                s.close();
            }
        }
    }

    /** Whether the other side has closed the connection; waits 1 ms at most. */
    private static boolean ended(Socket socket) {
        try {
            socket.setSoTimeout(1);
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void statusShowsTheSameMetrics() {
        String status = loop.submit(() -> registry.answer("{\"v\":1,\"command\":\"status\"}"))
                .syncUninterruptibly()
                .getNow();
        assertThat(status).contains("\"figures\":{\"succeeded.read\":812,\"outstanding\":14}");
    }
}
