import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients ask for values of 64 KiB, some commands at once, and read slowly what comes: together far over the memory
 * limit. Each request has to get its one whole answer, in the order of the commands.
 */
final class SlowReaders {
    private static final int CLIENTS = 70;
    /** Commands that a client sends at once. */
    private static final int COMMANDS = 100;
    /** One client after another sends its commands: 833 requests a second of all clients. */
    private static final int CLIENT_EVERY_MS = 120;

    private static final int VALUE_BYTES = 64 << 10;
    private static final int DEADLINE_MS = 3000;
    /** A client reads so much, so often: 80 KiB a second, and later as fast as it can. */
    private static final int PART = 8 << 10;

    private static final int PART_EVERY_MS = 100;
    private static final int SLOW_FOR_MS = 15_000;
    /** A client that reads and gets nothing for this time gets nothing any more. */
    private static final int SILENCE_MS = 20_000;

    public static void main(String[] args) {
        Main.run(args, SlowReaders::play);
    }

    /** Usual clients beside them: so many, each with one small read after another. */
    private static final int USUAL = 4;

    private static final int USUAL_EVERY_MS = 100;
    private static final int USUAL_DEADLINE_MS = 1000;
    /** Half a second after its time an answer still counts; each time limit is 50 ms longer on sockets. */
    private static final int SLACK_MS = 500 + 50;

    private static final AtomicInteger usual = new AtomicInteger();
    private static final AtomicInteger usualLost = new AtomicInteger();
    private static volatile boolean over;

    private static void usualClient(int number, Client client) throws Exception {
        client.patience(USUAL_DEADLINE_MS + SLACK_MS);
        for (int i = 0; !over; i++) {
            String id = "f%07x%08x".formatted(number, i);
            double sent = Record.now();
            client.send(Lines.ascii(Client.read("small" + id, id, "read", USUAL_DEADLINE_MS)));
            usual.incrementAndGet();
            String line = null;
            try {
                line = client.in().line();
                if (line != null && line.startsWith("VA ")) {
                    client.in().line();
                }
            } catch (SocketTimeoutException e) {
                line = null;
            }
            if (line == null) {
                usualLost.incrementAndGet();
                Record.line("usual client %d: no answer to %s within %.0f ms", number, id, Record.now() - sent);
                return;
            }
            Thread.sleep(USUAL_EVERY_MS);
        }
    }

    private static boolean play(Path root, boolean trouble) throws Exception {
        byte[] value = new byte[VALUE_BYTES];
        Arrays.fill(value, (byte) 'v');
        byte[] small = Lines.ascii("caption");
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        List<AutoCloseable> closing = new ArrayList<>();
        try (Origin origin = new Origin(0, request -> Origin.ok(request.write() ? Lines.ascii("r") : value));
                Discovery discovery = new Discovery();
                Proxy proxy = new Proxy(root)) {
            for (int i = 0; i < 6; i++) {
                CacheNode node = new CacheNode(
                        "n" + i, (key, id, line) -> new CacheNode.Answer(
                                5, CacheNode.value(id, key.startsWith("small") ? small : value), null, 0));
                closing.add(node);
                discovery.add("s-" + i, node.address(), "m1");
            }
            discovery.add("s-9", origin.address(), "origin");
            proxy.start(new Settings()
                    .add("read", "retryable", 1000, DEADLINE_MS)
                    .json("p0", proxy.listen(), discovery.address(), discovery.list()));
            Thread.sleep(500);
            for (int u = 0; u < USUAL; u++) {
                int number = u;
                Client client = new Client(proxy.port, 0);
                closing.add(client);
                Acceptor.daemon(() -> usualClient(number, client));
            }
            double slowUntil = Record.now() + SLOW_FOR_MS;
            List<Thread> threads = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                int number = c;
                Client client = new Client(proxy.port, 8 << 10);
                client.patience(SILENCE_MS);
                closing.add(client);
                StringBuilder commands = new StringBuilder();
                for (int i = 0; i < COMMANDS; i++) {
                    commands.append(Client.read("key" + (c * COMMANDS + i), id(c, i), "read", DEADLINE_MS));
                }
                client.send(Lines.ascii(commands.toString()));
                threads.add(Acceptor.daemon(() -> {
                    int done = 0;
                    try {
                        for (; done < COMMANDS; done++) {
                            String line = client.in().line();
                            if (line == null) {
                                throw new IOException("closed by the proxy");
                            }
                            if (!line.startsWith("VA ")) {
                                refused.incrementAndGet();
                                Record.line("client %d: answer %d: %s", number, done, line);
                                continue;
                            }
                            int length = Integer.parseInt(line.split(" ")[1]) + 2;
                            for (int at = 0; at < length; at += PART) {
                                client.in().bytes(Math.min(PART, length - at));
                                if (trouble && Record.now() < slowUntil) {
                                    Thread.sleep(PART_EVERY_MS);
                                }
                            }
                            served.incrementAndGet();
                            if (!id(number, done).equals(Lines.flag(line, 'O'))) {
                                foreign.incrementAndGet();
                                Record.line("client %d: answer %d is another's: %s", number, done, line);
                            }
                        }
                        Record.line("client %d: all answers", number);
                    } catch (SocketTimeoutException e) {
                        Record.line("client %d: nothing for %d ms, after %d answers", number, SILENCE_MS, done);
                        lost.addAndGet(COMMANDS - done);
                    } catch (IOException e) {
                        Record.line("client %d: %s, after %d answers", number, e.getMessage(), done);
                        lost.addAndGet(COMMANDS - done);
                    }
                }));
                Thread.sleep(CLIENT_EVERY_MS);
            }
            for (Thread thread : threads) {
                thread.join();
            }
            Record.say(
                    "served %d, refused or failed %d, never answered %d, with another's answer %d",
                    served.get(), refused.get(), lost.get(), foreign.get());
            over = true;
            Record.say("usual clients: %d requests, %d without an answer in time", usual.get(), usualLost.get());
            Record.line("the proxy %s; its log:\n%s", proxy.alive() ? "runs" : "has ended", proxy.log(40));
            return proxy.alive() && lost.get() == 0 && foreign.get() == 0 && usualLost.get() == 0;
        } finally {
            for (AutoCloseable each : closing) {
                each.close();
            }
        }
    }

    private static String id(int client, int command) {
        return "%08x%08x".formatted(client, command);
    }
}
