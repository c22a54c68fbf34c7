package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.proxy.lifecycle.Proxy;
import cacheproxy.takeover.HandoverStateMachine.Phase;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Takeover by a new process, here two proxies in one JVM: sockets are passed as between processes. */
@Timeout(120)
class UpgradeTest {
    @TempDir
    private Path folder;

    private static FakeServer node() throws Exception {
        return FakeServer.node(line -> "VA 2 O" + FakeServer.id(line) + " h1\r\nhi\r\n");
    }

    /** Starts the proxy at a fixed address, which its successor's configuration can name. */
    private ProxyFixture serving(FakeServer node) throws Exception {
        ProxyFixture fixture =
                new ProxyFixture().node(node).sharedFolder(folder).start();
        fixture.config.addProperty(
                "listen", "127.0.0.1:" + fixture.proxy.address().getPort());
        return fixture;
    }

    private Path takeoverSocket() {
        return folder.resolve("takeover");
    }

    private Proxy successor(ProxyFixture fixture) throws Exception {
        Proxy next = Proxy.start(Config.parse(fixture.config), folder);
        fixture.parts.add(next::close);
        return next;
    }

    private static Phase phase(Proxy proxy) {
        return proxy.loop()
                .submit(() -> proxy.status().handoverPhase())
                .syncUninterruptibly()
                .getNow();
    }

    private static long answered(Proxy proxy) {
        return proxy.loop()
                .submit(() -> proxy.status().completedRequests())
                .syncUninterruptibly()
                .getNow();
    }

    private static Thread end(Proxy proxy) {
        Thread ending = new Thread(proxy::terminate, "ending");
        ending.start();
        return ending;
    }

    private static void served(ProxyFixture.Client client, String id) throws Exception {
        assertThat(client.line()).isEqualTo("VA 2 O" + id);
        assertThat(client.line()).isEqualTo("hi");
    }

    @Test
    void aClientsConnectionOutlivesTheProcessThatAcceptedIt() throws Exception {
        try (ProxyFixture fixture = serving(node());
                ProxyFixture.Client client = fixture.client()) {
            served(client.read("1"), "1");
            Proxy next = successor(fixture);
            Await.until(
                    "the successor's report that it serves is accepted",
                    () -> phase(fixture.proxy) == Phase.SUCCESSOR_SERVES);
            served(client.read("2"), "2");
            assertThat(answered(fixture.proxy))
                    .as("the old process still has its connections")
                    .isEqualTo(2);
            Thread ending = end(fixture.proxy);
            ending.join();
            served(client.read("3").read("4"), "3");
            served(client, "4");
            assertThat(answered(next)).isEqualTo(2);
            served(fixture.client().read("5"), "5");
        }
    }

    @Test
    void openRequestsAreAnsweredByTheOldProcessAndTheirConnectionsPassedOn() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeServer slow = new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                release.await();
                c.send("VA 2 O" + FakeServer.id(line) + " h1\r\nhi\r\n");
            }
        });
        try (ProxyFixture fixture = serving(slow);
                ProxyFixture.Client client = fixture.client()) {
            client.read("1");
            slow.nextCommand();
            Proxy next = successor(fixture);
            Await.until(
                    "the successor's report that it serves is accepted",
                    () -> phase(fixture.proxy) == Phase.SUCCESSOR_SERVES);
            Thread ending = end(fixture.proxy);
            client.send("mg 7f3a9c21e0b4d655 v O2 Pc=te"); // an incomplete command keeps the connection with the old
            // process
            release.countDown();
            served(client, "1");
            client.send("xt,d=20000\r\n");
            served(client, "2");
            ending.join();
            assertThat(answered(fixture.proxy)).isEqualTo(2);
            served(client.read("3"), "3");
            assertThat(answered(next)).isEqualTo(1);
        }
    }

    /** A takeover does not restart the timeout of a silent client: it gets an error or a close within 3 s in all. */
    @Test
    void aSilentClientIsNotifiedInTimeThroughAnUpgrade() throws Exception {
        try (ProxyFixture fixture = serving(node());
                ProxyFixture.Client mute = fixture.client()) {
            long owedBy = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
            Await.until(
                    "the client is connected",
                    () -> fixture.onEventLoop(
                                    () -> fixture.proxy.clientAcceptor().openConnections())
                            == 1);
            successor(fixture);
            Await.until(
                    "the successor's report that it serves is accepted",
                    () -> phase(fixture.proxy) == Phase.SUCCESSOR_SERVES);
            Thread ending = end(fixture.proxy);
            mute.socket.setSoTimeout((int) TimeUnit.NANOSECONDS.toMillis(owedBy - System.nanoTime()));
            assertThat(mute.isAtEnd()).isTrue();
            ending.join();
        }
    }

    /** Clients send without pause, on old and on new connections, through several upgrades. */
    @Test
    void noRequestFailsThroughUpgrades() throws Exception {
        AtomicBoolean over = new AtomicBoolean();
        List<Throwable> failures = new ArrayList<>();
        long[] served = new long[8];
        try (ProxyFixture fixture = serving(node())) {
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < served.length; c++) {
                int number = c;
                Thread thread = new Thread(() -> {
                    try {
                        ProxyFixture.Client client = new ProxyFixture.Client(fixture.proxy.address(), 0);
                        for (int i = 0; !over.get(); i++) {
                            String id = number + "x" + i;
                            if (number % 2 == 1 && i % 10 == 9) {
                                client.close();
                                client = new ProxyFixture.Client(fixture.proxy.address(), 0);
                            }
                            served(client.read(id), id);
                            served[number]++;
                        }
                        client.close();
                    } catch (Throwable e) {
                        synchronized (failures) {
                            failures.add(e);
                        }
                    }
                });
                clients.add(thread);
                thread.start();
            }
            Proxy old = fixture.proxy;
            for (int upgrade = 0; upgrade < 10; upgrade++) {
                Proxy next = successor(fixture);
                Proxy before = old;
                Await.until(
                        "the successor's report that it serves is accepted",
                        () -> phase(before) == Phase.SUCCESSOR_SERVES);
                end(before).join();
                before.close();
                Await.until("the successor answers clients", () -> answered(next) > 20);
                old = next;
            }
            over.set(true);
            for (Thread t : clients) {
                t.join();
            }
            assertThat(failures).isEmpty();
            assertThat(served).doesNotContain(0);
        }
    }

    /** One of two servers refuses connections, which the old process has found out and passes on. */
    @Test
    void serverStateIsPassedToTheSuccessor() throws Exception {
        FakeServer unreachable = node();
        String dial = unreachable.dial();
        unreachable.close();
        FakeServer up = node();
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(up)
                        .node(dial)
                        .sharedFolder(folder)
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            fixture.config.addProperty(
                    "listen", "127.0.0.1:" + fixture.proxy.address().getPort());
            Await.until("the old process has tried the server", () -> {
                String key = Long.toHexString(System.nanoTime());
                client.send("mg " + key + " v O" + key + " Pc=text,d=20000\r\n");
                served(client, key);
                return fixture.onEventLoop(() -> fixture.proxy.status().ejectedNodes())
                        == 1; // suspected servers are included
            });
            Proxy next = successor(fixture);
            assertThat(next.loop()
                            .submit(() -> next.status().ejectedNodes())
                            .syncUninterruptibly()
                            .getNow())
                    .as("before the successor has sent anything")
                    .isEqualTo(1);
        }
    }

    @Test
    void aSuccessorThatEndsReturnsTheClients() throws Exception {
        try (ProxyFixture fixture = serving(node())) {
            Proxy next = successor(fixture);
            Await.until(
                    "the successor's report that it serves is accepted",
                    () -> phase(fixture.proxy) == Phase.SUCCESSOR_SERVES);
            next.close();
            Await.until("the old process has no successor", () -> phase(fixture.proxy) == Phase.NO_SUCCESSOR);
            served(fixture.client().read("1"), "1");
            assertThat(answered(fixture.proxy)).isEqualTo(1);
            successor(fixture);
            Await.until(
                    "the next successor reaches the old process", () -> phase(fixture.proxy) == Phase.SUCCESSOR_SERVES);
        }
    }

    @Test
    void aSuccessorThatNeverServesDelaysNobody() throws Exception {
        try (ProxyFixture fixture = serving(node());
                SocketChannel hungSuccessor = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            hungSuccessor.connect(UnixDomainSocketAddress.of(takeoverSocket()));
            hungSuccessor.write(ByteBuffer.wrap("STATE 1\nSOCKET\n".getBytes(StandardCharsets.US_ASCII)));
            Await.until("the listening socket is passed", () -> phase(fixture.proxy) == Phase.SOCKET_PASSED);
            served(fixture.client().read("1"), "1");
            successor(fixture);
            Await.until(
                    "the newer successor's report that it serves is accepted",
                    () -> phase(fixture.proxy) == Phase.SUCCESSOR_SERVES);
        }
    }

    @Test
    void outOfOrderMessagesCloseOnlyTheHandoverConnection() throws Exception {
        try (ProxyFixture fixture = serving(node())) {
            for (String messages :
                    new String[] {"SERVING\n", "SOCKET\n", "STATE 9\n", "x".repeat(200), "STATE 1\nSERVING\n"}) {
                try (SocketChannel link = SocketChannel.open(StandardProtocolFamily.UNIX)) {
                    link.connect(UnixDomainSocketAddress.of(takeoverSocket()));
                    link.write(ByteBuffer.wrap(messages.getBytes(StandardCharsets.US_ASCII)));
                    if (messages.length() < 100) {
                        ByteBuffer rest = ByteBuffer.allocate(1 << 16);
                        while (link.read(rest) >= 0) {
                            rest.clear();
                        }
                    }
                }
                Await.until("the old process has no successor", () -> phase(fixture.proxy) == Phase.NO_SUCCESSOR);
            }
            served(fixture.client().read("1"), "1");
        }
    }

    /** A socket file of a killed process, one whose process never answers, one whose process answers invalid data. */
    @Test
    void theNewProcessServesIfTheOldOneCannotHandOver() throws Exception {
        Path path = takeoverSocket();
        for (String answer : new String[] {null, "", "{\"v\":9}\n", "{\"v\":1,\"li\n", "nonsense\n"}) {
            Files.deleteIfExists(path);
            try (ServerSocketChannel old = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
                old.bind(UnixDomainSocketAddress.of(path));
                if (answer == null) {
                    old.close();
                } else {
                    Thread answering = new Thread(() -> {
                        try {
                            old.accept().write(ByteBuffer.wrap(answer.getBytes(StandardCharsets.US_ASCII)));
                        } catch (IOException e) {
                            // the test is over
                        }
                    });
                    answering.setDaemon(true);
                    answering.start();
                }
                try (ProxyFixture fixture = serving(node())) {
                    served(fixture.client().read("1"), "1");
                }
            }
        }
    }
}
