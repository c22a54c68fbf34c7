package damsonworks.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Answers that bring more than belongs to them. */
@Timeout(60)
class LateCopiesTest {
    private static String write(int id) {
        return "ms 7f3a 5 O" + id + " Pc=fix,d=20000\r\nhello\r\n";
    }

    private static String receipt(String id) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + (1 + id.length()) + "\r\n\r\nr" + id;
    }

    /** Noise that is no line yet would begin the next answer. */
    @Test
    void noiseBehindTheOriginsAnswerEndsTheConnection() throws Exception {
        FakeServer origin = new FakeServer(c -> {
            for (String request; (request = c.request()) != null;) {
                c.say(receipt(FakeServer.id(request)) + "noise");
            }
        });
        try (Fleet fleet = new Fleet().origin(origin).start(); Fleet.Client client = fleet.client()) {
            for (int i = 0; i < 3; i++) {
                assertThat(client.say(write(i)).line()).isEqualTo("HD O" + i + " cr" + i);
            }
        }
    }

    @Test
    void noiseBehindANodesAnswerEndsTheConnection() throws Exception {
        FakeServer node = FakeServer.node(l -> "VA 5 O" + FakeServer.id(l) + " h1\r\nhello\r\nnoise");
        try (Fleet fleet = new Fleet().node(node).set("caps.max-attempts", "1").start();
                Fleet.Client client = fleet.client()) {
            for (int i = 0; i < 3; i++) {
                assertThat(client.read("r" + i).line()).isEqualTo("VA 5 Or" + i);
                client.line();
            }
        }
    }

    /** A line's end more than an answer needs is none's beginning. */
    @Test
    void aLineEndBehindTheOriginsAnswerIsPassedOver() throws Exception {
        FakeServer origin = new FakeServer(c -> {
            for (String request; (request = c.request()) != null;) {
                c.say(receipt(FakeServer.id(request)) + "\r\n");
            }
        });
        try (Fleet fleet = new Fleet().origin(origin).set("balancers", "60").start();
                Fleet.Client client = fleet.client()) {
            for (int i = 0; i < 12; i++) {
                assertThat(client.say(write(i)).line()).isEqualTo("HD O" + i + " cr" + i);
            }
            assertThat(origin.accepted).hasSizeLessThanOrEqualTo(4);
        }
    }
}
