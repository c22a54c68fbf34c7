import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients leave in a burst while the origin reads two long writes slowly. No attempt of a client that has left may begin,
 * that is, come to its last byte, more than 0.1 s after the close; each time limit is 50 ms longer on sockets.
 */
final class GoneUploads {
    private static final int SHORT_WRITES = 14;
    private static final int LONG_WRITES = 2;
    private static final int VALUE_BYTES = 4_000_000;
    private static final int DEADLINE_MS = 3000;
    /** So fast does the origin read a value: 4 MB in 2 s. */
    private static final double BYTES_PER_MS = 2000;
    private static final double WORK_MS = 900;
    private static final double ALLOWED_MS = 100 + 50;

    public static void main(String[] args) {
        Main.run(args, GoneUploads::play);
    }

    private static boolean play(Path root, boolean trouble) throws Exception {
        Map<String, Double> begun = new ConcurrentHashMap<>();
        Map<String, Double> gone = new ConcurrentHashMap<>();
        Map<String, String> answers = new ConcurrentHashMap<>();
        try (Origin origin = new Origin(BYTES_PER_MS, request -> {
                    begun.put(request.id(), Record.now());
                    Record.line("origin: begins %s %s", request.write() ? "PUT" : "GET", request.id());
                    CacheNode.pause(WORK_MS);
                    return Origin.ok(Lines.ascii(request.write() ? "r" + request.id() : "v-" + request.key()));
                });
                CacheNode one = new CacheNode("one", (key, id, line) -> CacheNode.Answer.of(2, "EN O" + id + " h0\r\n"));
                CacheNode two = new CacheNode("two", (key, id, line) -> CacheNode.Answer.of(2, "EN O" + id + " h0\r\n"));
                Discovery discovery = new Discovery();
                Proxy proxy = new Proxy(root)) {
            discovery.add("s-1", one.address(), "m1");
            discovery.add("s-2", two.address(), "m1");
            discovery.add("s-0", origin.address(), "origin");
            proxy.start(new Settings()
                    .add("read", "retryable", 1000, DEADLINE_MS)
                    .add("put", "fragile", 1000, DEADLINE_MS)
                    .json("p0", proxy.listen(), discovery.address(), discovery.list()));
            Thread.sleep(1000);
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < LONG_WRITES; i++) {
                String id = "aa%014d".formatted(i);
                Client client = new Client(proxy.port, 0);
                clients.add(client);
                client.send(Lines.ascii(Client.write("key-w" + i, VALUE_BYTES, id, "put", DEADLINE_MS)));
                client.send(new byte[VALUE_BYTES]);
                client.send(Lines.ascii("\r\n"));
                Record.line("client: sent long write %s", id);
                listen(client, id, answers);
            }
            Thread.sleep(200);
            for (int i = 0; i < SHORT_WRITES; i++) {
                String id = "bb%014d".formatted(i);
                Client client = new Client(proxy.port, 0);
                clients.add(client);
                client.send(Lines.ascii(Client.write("key-s" + i, 5, id, "put", DEADLINE_MS) + "value\r\n"));
                Record.line("client: sent short write %s", id);
                listen(client, id, answers);
            }
            Thread.sleep(300);
            if (trouble) { // the long writes last, all within some milliseconds
                for (int i = clients.size() - 1; i >= 0; i--) {
                    String id = (i < LONG_WRITES ? "aa%014d" : "bb%014d").formatted(i < LONG_WRITES ? i : i - LONG_WRITES);
                    gone.put(id, Record.now());
                    clients.get(i).close();
                    Record.line("client: leaves, %s", id);
                }
            }
            Thread.sleep(4500);
            boolean held = proxy.alive();
            for (Map.Entry<String, Double> left : gone.entrySet()) {
                Double at = begun.get(left.getKey());
                if (at != null && at > left.getValue() + ALLOWED_MS) {
                    Record.say("%s begins %.0f ms after its client has left", left.getKey(), at - left.getValue());
                    held = false;
                }
            }
            if (!trouble) {
                for (int i = 0; i < LONG_WRITES + SHORT_WRITES; i++) {
                    String id = (i < LONG_WRITES ? "aa%014d" : "bb%014d").formatted(i < LONG_WRITES ? i : i - LONG_WRITES);
                    if (!answers.containsKey(id)) {
                        Record.say("%s has no answer", id);
                        held = false;
                    }
                }
            }
            Record.line("log of the proxy:\n%s", proxy.log(20));
            return held;
        }
    }

    private static void listen(Client client, String id, Map<String, String> answers) {
        Acceptor.daemon(() -> {
            try {
                String line = client.in().line();
                Record.line("client: answer to %s: %s", id, line);
                if (line != null) {
                    answers.put(id, line);
                }
            } catch (IOException e) {
                // left
            }
        });
    }
}
