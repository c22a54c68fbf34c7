package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.proxy.protocol.MetaCodec;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** How the proxy handles client connections, on loopback sockets. */
class ClientConnectionTest {
    private static String hit(String command) {
        return "VA 5 O" + FakeServer.id(command) + " h1\r\nhello\r\n";
    }

    @Test
    void splitAndPipelinedCommandsAreAnsweredInOrder() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(FakeServer.node(ClientConnectionTest::hit))
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            client.send("m").send("n\r").send("\n");
            assertThat(client.line()).isEqualTo("MN");
            client.read("1").send("mn\r\n").read("2").send("nonsense\r\n");
            assertThat(client.line()).isEqualTo("VA 5 O1");
            assertThat(client.line()).isEqualTo("hello");
            assertThat(client.line()).isEqualTo("MN");
            assertThat(client.line()).isEqualTo("VA 5 O2");
            assertThat(client.line()).isEqualTo("hello");
            assertThat(client.line()).isEqualTo("ERROR");
        }
    }

    @Test
    void aSlowFirstResponseDelaysAFastSecond() throws Exception {
        CountDownLatch second = new CountDownLatch(1);
        FakeServer node = new FakeServer(c -> {
            String line = c.command();
            if (FakeServer.id(line).equals("1")) {
                second.await();
            }
            c.send(hit(line));
            second.countDown();
            c.awaitEnd();
        });
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1").read("2");
            assertThat(client.line()).isEqualTo("VA 5 O1");
            client.line();
            assertThat(client.line()).isEqualTo("VA 5 O2");
        }
    }

    @Test
    void theCommandIsForwardedUnchangedExceptForTheDeadline() throws Exception {
        FakeServer node = FakeServer.node(ClientConnectionTest::hit);
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client()) {
            client.send("mg 7f3a v Oab12 Pc=text,t=acme,d=20000,r=1 q\r\n");
            client.line();
            assertThat(node.nextCommand()).matches("mg 7f3a v Oab12 Pc=text,t=acme,d=(20000|1\\d{4}),r=1 q");
        }
    }

    @Test
    void aBinaryValueOfFourMebibytesReachesTheOriginCompletely() throws Exception {
        byte[] value = new byte[MetaCodec.MAX_VALUE_BYTES];
        new Random(1).nextBytes(value);
        FakeServer origin = new FakeServer(c -> {
            c.request();
            c.sendHttp(200, "", "r1");
        });
        try (ProxyFixture fixture = new ProxyFixture().origin(origin).start();
                ProxyFixture.Client client = fixture.client()) {
            client.send("ms 7f3a " + value.length + " O9 Pc=fix,d=20000\r\n")
                    .send(value)
                    .send("\r\n");
            assertThat(client.line()).isEqualTo("HD O9 cr1");
            String request = origin.nextCommand();
            assertThat(request)
                    .startsWith("PUT /7f3a HTTP/1.1\n")
                    .containsIgnoringCase("req-id: 9\n")
                    .containsPattern("(?i)\\nreq-extra: c=fix,d=(20000|1\\d{4})\\n");
            String body = request.substring(request.indexOf("\n\n") + 2);
            assertThat(body.equals(new String(value, StandardCharsets.ISO_8859_1)))
                    .isTrue();
        }
    }

    @Test
    void invalidCommandsAreAnsweredAndOnlyLostFramingClosesTheConnection() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture()
                .node(FakeServer.node(ClientConnectionTest::hit))
                .start()) {
            try (ProxyFixture.Client client = fixture.client()) {
                client.send("mg 7f3a v\r\n")
                        .send("ms 7f3a 5 v\r\nhello\r\n")
                        .send("mg 7f3a v O1 Pc=none,d=5\r\n")
                        .read("2");
                assertThat(client.line()).startsWith("CLIENT_ERROR");
                assertThat(client.line()).startsWith("CLIENT_ERROR");
                assertThat(client.line()).startsWith("CLIENT_ERROR");
                assertThat(client.line()).isEqualTo("VA 5 O2");
            }
            for (String lost : new String[] {
                "ms 7f3a -5 O1 Pc=fix,d=500\r\n",
                "ms 7f3a 5 O1 Pc=fix,d=500\r\nhelloXX",
                "ms 7f3a 4194305 O1 Pc=fix,d=500\r\n",
                "x".repeat(MetaCodec.MAX_LINE_BYTES)
            }) {
                try (ProxyFixture.Client client = fixture.client()) {
                    client.send(lost);
                    assertThat(client.line()).as(lost.substring(0, 10)).startsWith("CLIENT_ERROR");
                    assertThat(client.isAtEnd()).isTrue();
                }
            }
        }
    }

    @Test
    void invalidParametersAreNotForwarded() throws Exception {
        FakeServer node = FakeServer.node(ClientConnectionTest::hit);
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client()) {
            for (String bad : new String[] {
                "O1 Pc=text",
                "O1 Pc=text,d=",
                "O1 Pc=text,d=soon",
                "O1 Pc=text,d=NaN",
                "O1 Pc=text,d=Infinity",
                "O1 Pc=text,d=-5",
                "O\u0001 Pc=text,d=500",
                "O1 Pc=text,d=500 \u00ff"
            }) {
                client.send("mg 7f3a v " + bad + "\r\n");
                assertThat(client.line()).as(bad).startsWith("CLIENT_ERROR");
            }
            client.read("2");
            assertThat(client.line()).isEqualTo("VA 5 O2");
            assertThat(node.commands).hasSize(1);
        }
    }

    /** A node that holds back its answers to reads until it is released. */
    private static FakeServer waiting(CountDownLatch release) throws Exception {
        return new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                release.await();
                c.send(hit(line));
            }
        });
    }

    /** Ids are unique per request, so a repeated id belongs to another request, whether open or answered. */
    @Test
    void aRepeatedIdIsRejectedWhileItsRequestIsOpenAndRightAfterItsAnswer() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeServer node = waiting(release);
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client one = fixture.client()) {
            one.read("1");
            node.nextCommand();
            ProxyFixture.Client two = fixture.client().read("1");
            assertThat(two.line()).startsWith("CLIENT_ERROR");
            release.countDown();
            assertThat(one.line()).isEqualTo("VA 5 O1");
            two.read("1");
            assertThat(two.line()).startsWith("CLIENT_ERROR");
            one.line();
            one.read("1");
            assertThat(one.line()).startsWith("CLIENT_ERROR");
            one.read("2");
            assertThat(one.line()).isEqualTo("VA 5 O2");
            assertThat(node.commands).extracting(FakeServer::id).containsExactly("2");
        }
    }

    /** A server may still be executing the request of a client that has disconnected. */
    @Test
    void theIdOfARequestWhoseClientDisconnectedIsRejected() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeServer node = waiting(release);
        try (ProxyFixture fixture = new ProxyFixture().node(node).start()) {
            ProxyFixture.Client one = fixture.client().read("1");
            node.nextCommand();
            one.close();
            Await.until(
                    "the proxy has noticed the disconnect",
                    () -> fixture.onEventLoop(() -> fixture.proxy.dispatcher().openRequests()) == 0);
            ProxyFixture.Client two = fixture.client().read("1");
            assertThat(two.line()).startsWith("CLIENT_ERROR");
            release.countDown();
            assertThat(node.commands).isEmpty();
        }
    }

    /** Ids are not remembered forever: one deadline after its request's end, an id is accepted again. */
    @Test
    void anIdIsAcceptedAgainADeadlineAfterItsRequest() throws Exception {
        ProxyFixture setup = new ProxyFixture().node(FakeServer.node(ClientConnectionTest::hit));
        for (int i = 0; i < 3; i++) {
            setup.set("classes." + i + ".promise", "100.0").set("classes." + i + ".deadline", "200.0");
        }
        String read = "mg 7f3a v O1 Pc=text,d=200\r\n";
        try (ProxyFixture fixture = setup.start();
                ProxyFixture.Client client = fixture.client()) {
            assertThat(client.send(read).line()).isEqualTo("VA 5 O1");
            client.line();
            assertThat(client.send(read).line()).startsWith("CLIENT_ERROR");
            Await.until(
                    "the id is accepted again", () -> client.send(read).line().equals("VA 5 O1"));
        }
    }

    @Test
    void aDisconnectedClientsAttemptsAreCancelled() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        FakeServer node = new FakeServer(c -> {
            c.command();
            c.awaitEnd();
            ended.countDown();
        });
        try (ProxyFixture fixture = new ProxyFixture().node(node).start()) {
            ProxyFixture.Client client = fixture.client();
            client.read("1");
            node.nextCommand();
            client.close();
            assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void aValueBeyondTheMemoryBudgetIsRejectedUnread() throws Exception {
        FakeServer origin = new FakeServer(c -> c.sendHttp(200, "", c.request().substring(0, 3)));
        ProxyFixture setup = new ProxyFixture().origin(origin);
        JsonObject limits = new JsonObject();
        limits.addProperty("memory_mb", 8);
        setup.config.add("limits", limits);
        try (ProxyFixture fixture = setup.start();
                ProxyFixture.Client client = fixture.client()) {
            client.send("ms 7f3a 2000000 O1 Pc=fix,d=20000\r\n")
                    .send(new byte[2_000_000])
                    .send("\r\n");
            assertThat(client.line()).isEqualTo("SERVER_ERROR busy");
            client.send("ms 7f3a 5 O2 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("HD O2 cPUT");
            assertThat(FakeServer.id(origin.nextCommand())).isEqualTo("2");
        }
    }

    @Test
    void aValuesMemoryIsReleasedWhenItsRequestCompletes() throws Exception {
        FakeServer origin = new FakeServer(c -> {
            while (c.request() != null) {
                c.sendHttp(200, "", "r1");
            }
        });
        ProxyFixture setup = new ProxyFixture().origin(origin);
        JsonObject limits = new JsonObject();
        limits.addProperty("memory_mb", 8);
        setup.config.add("limits", limits);
        try (ProxyFixture fixture = setup.start();
                ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < 6; i++) {
                client.send("ms 7f3a 400000 O" + i + " Pc=fix,d=20000\r\n")
                        .send(new byte[400_000])
                        .send("\r\n");
                assertThat(client.line()).isEqualTo("HD O" + i + " cr1");
            }
        }
    }

    /**
     * A class's deadline may be longer than the timeout for stalled clients; a client that waits for its answer is not
     * closed for that. Both clients get an error for the request that they began and didn't finish; the waiting client
     * gets it after the outstanding answer.
     */
    @Test
    void aClientThatWaitsForItsAnswerIsNotTakenForAStalledOne() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeServer node = new FakeServer(c -> {
            String line = c.command();
            release.await();
            c.send("VA 5 O" + FakeServer.id(line) + " h1\r\nhello\r\n");
            c.awaitEnd();
        });
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(node)
                        .set("caps.second-copies", "false")
                        .set("caps.may-cancel", "false")
                        .start();
                ProxyFixture.Client patient = fixture.client();
                ProxyFixture.Client half = fixture.client()) {
            patient.send("mg 7f3a v O1 Pc=text,d=20000\r\nmg 7f3a v O2 Pc=te"); // and part of the next command
            half.send("mg 7f3a v");
            node.nextCommand();
            double late = fixture.onEventLoop(() -> fixture.proxy.dispatcher().now()) + 15_000;
            Await.until(
                    "both have been read",
                    () -> fixture.onEventLoop(
                                    () -> fixture.proxy.clientAcceptor().idleConnections())
                            == 0);
            fixture.onEventLoop(() -> {
                fixture.proxy.clientAcceptor().closeStalled(late);
                return null;
            });
            assertThat(half.line()).startsWith("CLIENT_ERROR");
            assertThat(half.isAtEnd()).isTrue();
            release.countDown();
            assertThat(patient.line()).isEqualTo("VA 5 O1");
            assertThat(patient.line()).isEqualTo("hello");
            assertThat(patient.line()).startsWith("CLIENT_ERROR");
            assertThat(patient.isAtEnd()).isTrue();
        }
    }
}
