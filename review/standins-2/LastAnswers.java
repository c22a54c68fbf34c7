import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart while clients read long values slowly, and send their next commands meanwhile. Each value that was
 * asked for before SIGTERM has to come whole, as it can long before SIGKILL.
 */
final class LastAnswers {
    private static final int CLIENTS = 4;
    private static final int VALUE_BYTES = 1 << 20;
    private static final int DEADLINE_MS = 3000;
    /** So much, so often: a client has its value after 2.1 s. */
    private static final int PART = 16 << 10;

    private static final int PART_EVERY_MS = 32;
    private static final int TERM_AFTER_MS = 200;
    private static final int NEXT_COMMAND_AFTER_MS = 1100;
    /** After SIGTERM: the longest deadline and 0.7 s more. */
    private static final int KILL_AFTER_MS = DEADLINE_MS + 700;

    public static void main(String[] args) {
        Main.run(args, LastAnswers::play);
    }

    private static boolean play(Path root, boolean trouble) throws Exception {
        byte[] value = new byte[VALUE_BYTES];
        Arrays.fill(value, (byte) 'v');
        AtomicInteger whole = new AtomicInteger();
        List<AutoCloseable> closing = new ArrayList<>();
        try (Origin origin = new Origin(0, request -> Origin.ok(request.write() ? Lines.ascii("r") : value));
                CacheNode node = new CacheNode(
                        "one", (key, id, line) -> new CacheNode.Answer(5, CacheNode.value(id, value), null, 0));
                Discovery discovery = new Discovery();
                Proxy proxy = new Proxy(root)) {
            discovery.add("s-1", node.address(), "m1");
            discovery.add("s-9", origin.address(), "origin");
            proxy.start(new Settings()
                    .add("read", "retryable", 1000, DEADLINE_MS)
                    .json("p0", proxy.listen(), discovery.address(), discovery.list()));
            Thread.sleep(500);
            List<Thread> threads = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                int number = c;
                Client client = new Client(proxy.port, 16 << 10);
                client.patience(10_000);
                closing.add(client);
                String first = "%016x".formatted(c + 1);
                client.send(Lines.ascii(Client.read("film" + c, first, "read", DEADLINE_MS)));
                Record.line("client %d: sent its first command", c);
                threads.add(Acceptor.daemon(() -> {
                    double began = Record.now();
                    int got = 0;
                    boolean sent = false;
                    try {
                        String line = client.in().line();
                        Record.line("client %d: %s", number, line);
                        while (got < VALUE_BYTES + 2) {
                            int part = Math.min(PART, VALUE_BYTES + 2 - got);
                            client.in().bytes(part);
                            got += part;
                            Thread.sleep(PART_EVERY_MS);
                            if (!sent && Record.now() - began > TERM_AFTER_MS + NEXT_COMMAND_AFTER_MS) {
                                sent = true;
                                Record.line("client %d: sends its next command, with %d bytes read", number, got);
                                String id = "%016x".formatted(number + 101);
                                client.send(Lines.ascii(Client.read("next" + number, id, "read", DEADLINE_MS)));
                            }
                        }
                        Record.line("client %d: the whole value", number);
                        whole.incrementAndGet();
                    } catch (IOException e) {
                        Record.say(
                                "client %d: %s, with %d of %d bytes read",
                                number, e.getMessage(), got, VALUE_BYTES + 2);
                    }
                }));
            }
            Thread.sleep(TERM_AFTER_MS);
            if (trouble) {
                proxy.terminate();
            }
            Thread.sleep(KILL_AFTER_MS);
            if (trouble) {
                Record.line("the proxy %s before SIGKILL", proxy.alive() ? "has not ended" : "has ended");
            }
            for (Thread thread : threads) {
                thread.join();
            }
            Record.say("%d of %d values came whole", whole.get(), CLIENTS);
            Record.line("log of the proxy:\n%s", proxy.log(20));
            return whole.get() == CLIENTS;
        } finally {
            for (AutoCloseable each : closing) {
                each.close();
            }
        }
    }
}
