import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A cache node vanishes in the middle of long values: its connections stay open and silent. Discovery removes it from
 * the list soon after. Each client has to get an end: the whole value, an error, or the end of its connection. Each has
 * a second, short read behind the first on its connection, which needs its answer too.
 */
final class HalfValue {
    private static final int CLIENTS = 3;
    private static final int VALUE_BYTES = 1 << 20;
    private static final int SENT_BYTES = 512 << 10;
    private static final int DEADLINE_MS = 3000;
    private static final int REMOVED_AFTER_MS = 1500;
    private static final int SECOND_READ_AFTER_MS = 200;
    /** A client that has had nothing for so long gets nothing any more. */
    private static final int SILENCE_MS = 45_000;

    public static void main(String[] args) {
        Main.run(args, HalfValue::play);
    }

    private static boolean play(Path root, boolean trouble) throws Exception {
        byte[] value = new byte[VALUE_BYTES];
        Arrays.fill(value, (byte) 'v');
        AtomicInteger ended = new AtomicInteger();
        List<AutoCloseable> closing = new ArrayList<>();
        AtomicInteger asked = new AtomicInteger();
        Acceptor node = new Acceptor(0, socket -> serve(socket, value, trouble, asked));
        closing.add(node);
        try (Origin origin = new Origin(0, request -> Origin.ok(request.write() ? Lines.ascii("r") : value));
                Discovery discovery = new Discovery();
                Proxy proxy = new Proxy(root)) {
            discovery.add("s-1", node.address(), "m1");
            discovery.add("s-9", origin.address(), "origin");
            proxy.start(new Settings()
                    .add("read", "retryable", 1000, DEADLINE_MS)
                    .json("p0", proxy.listen(), discovery.address(), discovery.list()));
            Thread.sleep(2500); // the proxy watches by then
            List<Client> clients = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                int number = c;
                Client client = new Client(proxy.port, 0);
                client.patience(SILENCE_MS);
                closing.add(client);
                clients.add(client);
                String id = "%016x".formatted(c + 1);
                client.send(Lines.ascii(Client.read("film" + c, id, "read", DEADLINE_MS)));
                Record.line("client %d: sent %s", c, id);
                threads.add(Acceptor.daemon(() -> {
                    int got = 0;
                    try {
                        String line = client.in().line();
                        Record.line("client %d: %s", number, line);
                        if (line != null && line.startsWith("VA ")) {
                            int length = Integer.parseInt(line.split(" ")[1]) + 2;
                            for (; got < length; got += 1024) {
                                client.in().bytes(Math.min(1024, length - got));
                            }
                            Record.line("client %d: the whole value", number);
                        }
                        line = client.in().line();
                        Record.line("client %d: to the second read: %s", number, line);
                        ended.incrementAndGet();
                    } catch (SocketTimeoutException e) {
                        Record.say("client %d: %d bytes of the value, then nothing for %d ms", number, got, SILENCE_MS);
                    } catch (IOException e) {
                        Record.line("client %d: %d bytes of the value, then the end of the connection", number, got);
                        ended.incrementAndGet();
                    }
                }));
            }
            while (asked.get() < CLIENTS) {
                Thread.sleep(10);
            }
            Thread.sleep(SECOND_READ_AFTER_MS);
            for (int c = 0; c < CLIENTS; c++) {
                String id = "%016x".formatted(c + 101);
                clients.get(c).send(Lines.ascii(Client.read("small" + c, id, "read", DEADLINE_MS)));
                Record.line("client %d: sent its second read, %s", c, id);
            }
            Thread.sleep(REMOVED_AFTER_MS - SECOND_READ_AFTER_MS);
            discovery.remove("s-1", node.address(), "m1");
            for (Thread thread : threads) {
                thread.join();
            }
            Record.say("%d of %d clients came to an end", ended.get(), CLIENTS);
            Record.line("log of the proxy:\n%s", proxy.log(20));
            return proxy.alive() && ended.get() == CLIENTS;
        } finally {
            for (AutoCloseable each : closing) {
                each.close();
            }
        }
    }

    private static void serve(Socket socket, byte[] value, boolean trouble, AtomicInteger asked) throws Exception {
        Lines in = new Lines(socket.getInputStream(), 8192);
        OutputStream out = socket.getOutputStream();
        for (String line; (line = in.line()) != null; ) {
            String id = Lines.flag(line, 'O');
            boolean small = line.startsWith("mg small");
            byte[] answer = CacheNode.value(id, small ? Lines.ascii("caption") : value);
            if (trouble && !small) {
                out.write(answer, 0, SENT_BYTES);
                Record.line("node: sent half of the value for %s, then vanishes", id);
                asked.incrementAndGet();
                Thread.sleep(Long.MAX_VALUE);
            }
            out.write(answer);
            asked.addAndGet(small ? 0 : 1);
            Record.line("node: sent the value for %s", id);
        }
    }
}
