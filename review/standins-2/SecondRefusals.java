import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Cache nodes refuse some reads, and some refusals come a second time some milliseconds later, when nothing else waits
 * on the connection. A request of a class that must never run twice has to run once at most.
 */
final class SecondRefusals {
    private static final int CLIENTS = 8;
    private static final int FOR_MS = 20_000;
    private static final int DEADLINE_MS = 1000;
    private static final double WORK_MS = 20;
    private static final double AGAIN_AFTER_MS = 5;
    /** One read in so many is refused. */
    private static final int REFUSED = 10;
    /** One refusal in so many comes twice. */
    private static final int TWICE = 2;

    public static void main(String[] args) {
        Main.run(args, SecondRefusals::play);
    }

    private static boolean play(Path root, boolean trouble) throws Exception {
        Map<String, List<String>> runs = new ConcurrentHashMap<>();
        AtomicInteger reads = new AtomicInteger();
        AtomicInteger refusals = new AtomicInteger();
        List<AutoCloseable> closing = new ArrayList<>();
        try (Origin origin = new Origin(0, request -> Origin.ok(Lines.ascii("v" + request.id())));
                Discovery discovery = new Discovery();
                Proxy proxy = new Proxy(root)) {
            for (int n = 0; n < 3; n++) {
                String name = "node-" + n;
                CacheNode node = new CacheNode(name, (key, id, line) -> {
                    if (reads.incrementAndGet() % REFUSED == 0) {
                        boolean again = refusals.incrementAndGet() % TWICE == 0 && trouble;
                        Record.line("%s: refuses %s%s", name, id, again ? ", twice" : "");
                        byte[] busy = Lines.ascii("SERVER_ERROR busy\r\n");
                        return new CacheNode.Answer(1, busy, again ? busy : null, AGAIN_AFTER_MS);
                    }
                    List<String> at = runs.computeIfAbsent(id, k -> new ArrayList<>());
                    synchronized (at) {
                        at.add(name);
                    }
                    Record.line("%s: runs %s", name, id);
                    return new CacheNode.Answer(WORK_MS, CacheNode.value(id, Lines.ascii("value-" + id)), null, 0);
                });
                closing.add(node);
                discovery.add("s-" + n, node.address(), "m1");
            }
            discovery.add("s-9", origin.address(), "origin");
            proxy.start(new Settings()
                    .add("read", "retryable", 300, DEADLINE_MS)
                    .add("once", "fragile", 300, DEADLINE_MS)
                    .json("p0", proxy.listen(), discovery.address(), discovery.list()));
            Thread.sleep(500);
            double until = Record.now() + FOR_MS;
            List<Thread> threads = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                int number = c;
                Client client = new Client(proxy.port, 0);
                client.patience(5000);
                closing.add(client);
                threads.add(Acceptor.daemon(() -> {
                    for (int i = 0; Record.now() < until; i++) {
                        String id = "%08x%08x".formatted(number, i);
                        client.send(Lines.ascii(Client.read("key" + id, id, "once", DEADLINE_MS)));
                        String line = client.in().line();
                        if (line != null && line.startsWith("VA ")) {
                            client.in().line();
                        }
                        Record.line("client %d: answer to %s: %s", number, id, line);
                        Thread.sleep(3);
                    }
                }));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            int twice = 0;
            for (Map.Entry<String, List<String>> run : runs.entrySet()) {
                if (run.getValue().size() > 1) {
                    twice++;
                    if (twice <= 5) {
                        Record.say("%s ran %d times, at %s", run.getKey(), run.getValue().size(), run.getValue());
                    }
                }
            }
            Record.say("%d reads, %d refusals, %d requests ran more than once", reads.get(), refusals.get(), twice);
            Record.line("log of the proxy:\n%s", proxy.log(20));
            return proxy.alive() && twice == 0;
        } finally {
            for (AutoCloseable each : closing) {
                each.close();
            }
        }
    }
}
