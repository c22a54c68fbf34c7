import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients read a value of 4 MiB slowly, but all the time, and later fast. The cache node gives the value at once, so each client has to
 * get the whole of it.
 */
final class CutOff {
    private static final int VALUE_BYTES = 4 << 20;
    private static final int DEADLINE_MS = 3000;
    private static final int PART = 16 << 10;
    private static final int RECEIVE_BUFFER = 16 << 10;
    /** How often each client reads a part: 32, 64 and 100 KiB a second, and after a while as fast as it can. */
    private static final int[] PART_EVERY_MS = {500, 250, 160};

    private static final int SLOW_FOR_MS = 30_000;

    public static void main(String[] args) {
        Main.run(args, CutOff::play);
    }

    private static boolean play(Path root, boolean trouble) throws Exception {
        byte[] value = new byte[VALUE_BYTES];
        Arrays.fill(value, (byte) 'v');
        AtomicInteger whole = new AtomicInteger();
        List<AutoCloseable> closing = new ArrayList<>();
        try (Origin origin = new Origin(0, request -> Origin.ok(request.write() ? Lines.ascii("r") : value));
                CacheNode node = new CacheNode("one", (key, id, line) -> {
                    Record.line("node: gives the value for %s", id);
                    return new CacheNode.Answer(5, CacheNode.value(id, value), null, 0);
                });
                Discovery discovery = new Discovery();
                Proxy proxy = new Proxy(root)) {
            discovery.add("s-1", node.address(), "m1");
            discovery.add("s-9", origin.address(), "origin");
            proxy.start(new Settings()
                    .add("read", "retryable", 1000, DEADLINE_MS)
                    .json("p0", proxy.listen(), discovery.address(), discovery.list()));
            Thread.sleep(500);
            List<Thread> threads = new ArrayList<>();
            for (int c = 0; c < PART_EVERY_MS.length; c++) {
                int number = c;
                Client client = new Client(proxy.port, RECEIVE_BUFFER);
                client.patience(20_000);
                closing.add(client);
                client.send(Lines.ascii(Client.read("film" + c, "%016x".formatted(c + 1), "read", DEADLINE_MS)));
                Record.line("client %d: sent its command", c);
                threads.add(Acceptor.daemon(() -> {
                    int got = 0;
                    double began = Record.now();
                    try {
                        String line = client.in().line();
                        Record.line("client %d: %s", number, line);
                        if (line == null || !line.startsWith("VA ")) {
                            return;
                        }
                        while (got < VALUE_BYTES + 2) {
                            int part = Math.min(PART, VALUE_BYTES + 2 - got);
                            client.in().bytes(part);
                            got += part;
                            if (got % (1 << 20) == 0) {
                                Record.line("client %d: has read %d bytes", number, got);
                            }
                            if (trouble && Record.now() - began < SLOW_FOR_MS) {
                                Thread.sleep(PART_EVERY_MS[number]);
                            }
                        }
                        whole.incrementAndGet();
                        Record.line("client %d: the whole value", number);
                    } catch (IOException e) {
                        Record.say("client %d: %s, after %d of %d bytes", number, e.getMessage(), got, VALUE_BYTES + 2);
                    }
                }));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            Record.say("%d of %d values came whole", whole.get(), PART_EVERY_MS.length);
            Record.line("log of the proxy:\n%s", proxy.log(20));
            return proxy.alive() && whole.get() == PART_EVERY_MS.length;
        } finally {
            for (AutoCloseable each : closing) {
                each.close();
            }
        }
    }
}
