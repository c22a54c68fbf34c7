package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.proxy.lifecycle.ClassOutcomes;
import cacheproxy.proxy.lifecycle.ProxyStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The proxy's counters match those of scripted clients and servers exactly. */
@Timeout(60)
class FiguresTest {
    private static ProxyStatus status(ProxyFixture fixture) {
        return fixture.onEventLoop(fixture.proxy::status);
    }

    @Test
    void everyRequestIsCountedOnceByTheOutcomeThatItsClientRead() throws Exception {
        AtomicLong commands = new AtomicLong();
        FakeServer node = new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                long n = commands.incrementAndGet();
                String id = FakeServer.id(line);
                if (n % 7 == 0) {
                    c.send("SERVER_ERROR busy\r\n");
                } else if (n % 5 == 0) {
                    c.send("EN O" + id + " h0\r\n");
                } else {
                    c.send("VA 2 O" + id + " h1\r\nhi\r\n");
                }
            }
        });
        AtomicLong writes = new AtomicLong();
        AtomicLong fetched = new AtomicLong();
        FakeServer origin = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                fetched.incrementAndGet();
                boolean write = request.startsWith("PUT");
                if (write && writes.incrementAndGet() % 3 == 0) {
                    c.sendHttp(500, "", "");
                } else {
                    c.sendHttp(200, "", write ? "v1" : "fetched");
                }
            }
        });
        long[] served = new long[2];
        long[] refused = new long[2];
        long[] failed = new long[2];
        Random random = new Random(11);
        try (ProxyFixture fixture = new ProxyFixture().node(node).origin(origin).start();
                ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < 400; i++) {
                boolean write = random.nextInt(4) == 0;
                int kind = write ? 1 : 0;
                client.send(
                        write
                                ? "ms 7f3a9c21e0b4d65" + i % 8 + " 2 Ow" + i + " Pc=fix,d=20000\r\nab\r\n"
                                : "mg 7f3a9c21e0b4d65" + i % 8 + " v Or" + i + " Pc=text,d=20000\r\n");
                String line = client.line();
                if (line.startsWith("VA")) {
                    client.line();
                    served[kind]++;
                } else if (line.startsWith("HD")) {
                    served[kind]++;
                } else if (line.startsWith("SERVER_ERROR busy")) {
                    refused[kind]++;
                } else {
                    failed[kind]++;
                }
            }
            ProxyStatus s = status(fixture);
            assertThat(s.outcomesByClass().get("text")).isEqualTo(new ClassOutcomes(served[0], refused[0], failed[0]));
            assertThat(s.outcomesByClass().get("fix")).isEqualTo(new ClassOutcomes(served[1], refused[1], failed[1]));
            assertThat(s.outcomesByClass().get("publish")).isEqualTo(new ClassOutcomes(0, 0, 0));
            assertThat(s.forwardedAttempts()).isEqualTo(commands.get() + fetched.get());
            assertThat(served[0]).isPositive();
            assertThat(failed[1]).isPositive();
            assertThat(s.openRequests()).isZero();
            assertThat(s.discoveredNodes()).isEqualTo(1);
        }
    }

    @Test
    void anInvalidRequestOfAKnownClassFailsAndOneOfNoClassIsNotCounted() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture().start();
                ProxyFixture.Client client = fixture.client()) {
            client.send("mg k v O1 Pc=text,d=x\r\nmg k v O2 Pc=none,d=100\r\nmg k v O3\r\nnonsense\r\n");
            for (int i = 0; i < 4; i++) {
                assertThat(client.line()).matches("(CLIENT_)?ERROR.*");
            }
            assertThat(status(fixture).outcomesByClass())
                    .containsOnlyKeys("text", "fix", "publish")
                    .containsEntry("text", new ClassOutcomes(0, 0, 1));
        }
    }

    @Test
    void anAbortedStreamFailsAndADisconnectedClientIsNotCounted() throws Exception {
        FakeServer node = new FakeServer(c -> {
            String line = c.command();
            c.send("VA 200000 O" + FakeServer.id(line) + " h1\r\n" + "x".repeat(100_000));
            if (FakeServer.id(line).equals("gone")) {
                c.awaitEnd();
            }
        });
        try (ProxyFixture fixture = new ProxyFixture().node(node).start()) {
            try (ProxyFixture.Client client = fixture.client()) {
                client.read("1").line();
                assertThat(client.bytes(200_000)).hasSizeLessThan(200_000);
            }
            assertThat(status(fixture).outcomesByClass().get("text")).isEqualTo(new ClassOutcomes(0, 0, 1));
            try (ProxyFixture.Client client = fixture.client()) {
                client.read("gone").line();
                assertThat(status(fixture).openRequests()).isEqualTo(1);
            }
            Await.until("no request is open", () -> status(fixture).openRequests() == 0);
            assertThat(status(fixture).outcomesByClass().get("text")).isEqualTo(new ClassOutcomes(0, 0, 1));
        }
    }

    @Test
    void requestsThatADrainsDeadlineEndsAreCounted() throws Exception {
        FakeServer silent = new FakeServer(c -> {
            while (c.command() != null) {
                // never answered
            }
        });
        FakeServer origin = new FakeServer(c -> {
            c.request();
            c.awaitEnd();
        });
        try (ProxyFixture fixture =
                        new ProxyFixture().node(silent).origin(origin).start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1").send("ms k 2 O2 Pc=fix,d=20000\r\nab\r\n");
            silent.nextCommand();
            origin.nextCommand();
            fixture.onEventLoop(() -> fixture.proxy.startDrain(100));
            assertThat(client.line()).isEqualTo("SERVER_ERROR busy");
            assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
            assertThat(status(fixture).outcomesByClass())
                    .containsEntry("text", new ClassOutcomes(0, 1, 0))
                    .containsEntry("fix", new ClassOutcomes(0, 0, 1));
        }
    }

    @Test
    void anUnreachableNodeIsReportedAsEjected() throws Exception {
        FakeServer unreachable = FakeServer.node(line -> "");
        unreachable.close();
        List<String> answers = new ArrayList<>();
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(unreachable.dial())
                        .node(FakeServer.node(line -> "VA 2 O" + FakeServer.id(line) + " h1\r\nhi\r\n"))
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            assertThat(status(fixture).ejectedNodes()).isZero();
            for (int i = 0; i < 8; i++) {
                client.send("mg 7f3a9c21e0b4d65" + i + " v O" + i + " Pc=text,d=20000\r\n");
                answers.add(client.line());
                client.line();
            }
            assertThat(answers).allMatch(a -> a.startsWith("VA"));
            Await.until("the unreachable node is ejected", () -> status(fixture).ejectedNodes() == 1);
            assertThat(status(fixture).discoveredNodes()).isEqualTo(2);
        }
    }
}
