package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that stall in the middle of a request: each must get an error or a close within three seconds. */
@Timeout(60)
class StoppedClientsTest {
    private static final long NOTIFICATION_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final int DRIP_MS = 400;
    private static final String WRITE = "ms 7f3a9c21e0b4d655 ";

    private static ProxyFixture fixture() throws Exception {
        return new ProxyFixture()
                .node(FakeServer.node(line -> "VA 5 O" + FakeServer.id(line) + " h1\r\nhello\r\n"))
                .start();
    }

    /** Whether the client gets an error or a close before this time; other answers are skipped. */
    private static boolean isNotified(ProxyFixture.Client client, long untilNanos) throws IOException {
        try {
            for (long left; (left = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime())) > 0; ) {
                client.socket.setSoTimeout((int) left);
                String line = client.line();
                if (line == null || line.matches("(CLIENT_ERROR|SERVER_ERROR|ERROR).*")) {
                    return true;
                }
            }
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true; // a reset counts as a close
        }
        return false;
    }

    private static List<String> unnotified(Map<String, byte[]> clients) throws Exception {
        List<String> unnotified = new ArrayList<>();
        try (ProxyFixture fixture = fixture()) {
            Map<String, ProxyFixture.Client> open = new LinkedHashMap<>();
            for (Map.Entry<String, byte[]> client : clients.entrySet()) {
                open.put(client.getKey(), fixture.client().send(client.getValue()));
            }
            long until = System.nanoTime() + NOTIFICATION_NANOS;
            for (Map.Entry<String, ProxyFixture.Client> client : open.entrySet()) {
                if (!isNotified(client.getValue(), until)) {
                    unnotified.add(client.getKey());
                }
            }
        }
        return unnotified;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
    }

    @Test
    void aClientThatStallsAnywhereInARequestIsNotifiedInTime() throws Exception {
        Map<String, byte[]> clients = new LinkedHashMap<>();
        clients.put("half a line", bytes("mg 7f3a9c21e0b4d655 v O1"));
        clients.put("a line without its end", bytes("mg 7f3a9c21e0b4d655 v O2 Pc=text,d=20000"));
        clients.put("a line without its last byte", bytes("mg 7f3a9c21e0b4d655 v O3 Pc=text,d=20000\r"));
        clients.put("a value half sent", bytes(WRITE + "5 O4 Pc=fix,d=20000\r\nhel"));
        clients.put("a value not begun", bytes(WRITE + "5 O5 Pc=fix,d=20000\r\n"));
        clients.put("a value without its end", bytes(WRITE + "5 O6 Pc=fix,d=20000\r\nhello"));
        clients.put("half of 4 MiB", bytes(WRITE + "4194304 O7 Pc=fix,d=20000\r\n" + "x".repeat(2 << 20)));
        clients.put("half a write of an unknown class", bytes(WRITE + "5 O8 Pc=none,d=20000\r\nhe"));
        clients.put("half a write without an id", bytes(WRITE + "5 v\r\nhe"));
        clients.put("a read and half of the next", bytes("mg 7f3a v O9 Pc=text,d=20000\r\nmg 7f3a v O10 Pc"));
        assertThat(unnotified(clients)).isEmpty();
    }

    @Test
    void aClientThatConnectsAndSendsNothingIsNotifiedInTime() throws Exception {
        assertThat(unnotified(Map.of("mute", new byte[0]))).isEmpty();
    }

    /** Each byte is activity, but none completes a request. */
    @Test
    void aClientThatTricklesBytesIsNotifiedInTime() throws Exception {
        ScheduledExecutorService drip = Executors.newSingleThreadScheduledExecutor();
        try (ProxyFixture fixture = fixture()) {
            ProxyFixture.Client line = fixture.client().send("m");
            ProxyFixture.Client value = fixture.client().send(WRITE + "500 O1 Pc=fix,d=20000\r\n");
            long until = System.nanoTime() + NOTIFICATION_NANOS;
            drip.scheduleAtFixedRate(
                    () -> {
                        try {
                            line.send("g");
                            value.send("x");
                        } catch (IOException e) {
                            throw new IllegalStateException(
                                    e); // ends the schedule: one of the two connections is closed
                        }
                    },
                    DRIP_MS,
                    DRIP_MS,
                    TimeUnit.MILLISECONDS);
            assertThat(isNotified(line, until)).as("stalled line").isTrue();
            assertThat(isNotified(value, until)).as("stalled value").isTrue();
        } finally {
            drip.shutdownNow();
        }
    }
}
