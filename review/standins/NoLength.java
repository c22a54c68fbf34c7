import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients read long values slowly, which the caches lack and the origin sends. The origin's answers have no length and
 * come whole. Each request, long or short, has to get its final answer.
 */
final class NoLength {
    private static final int READERS = 60;
    private static final int READER_EVERY_MS = 250;
    private static final int LONG_VALUE = 4 << 20;
    private static final int PIECE = 64 << 10;
    private static final int PIECE_EVERY_MS = 200;
    private static final int SHORT_EVERY_MS = 40;
    private static final int READ_MS = 1000;
    private static final int WRITE_MS = 600;
    /** How long a client waits to see that a request gets no answer at all. */
    private static final int WAIT_MS = 10_000;

    public static void main(String[] args) throws IOException {
        Rig.main(args, NoLength::run);
    }

    private static void run(Rig rig) throws Exception {
        Deployment deployment = new Deployment();
        for (int i = 0; i < 6; i++) {
            deployment.cacheNode(i, new CacheNode(rig, "node" + i).port());
        }
        Origin origin = new Origin(rig);
        origin.withoutLength = c -> rig.trouble && c.key().contains("big-");
        deployment.origin(origin.port());
        Discovery discovery = new Discovery(deployment);
        int port = Rig.freePort();
        ProxyProcess proxy = new ProxyProcess(rig, "p0", port, deployment.config("p0", port, discovery.port()));
        proxy.awaitReady();
        Rig.sleep(1000);
        int[] counts = new int[4]; // long: served, not served; short: served, not served
        AtomicBoolean done = new AtomicBoolean();
        AtomicInteger open = new AtomicInteger();
        Thread others = Rig.start("short requests", () -> {
            for (int n = 0; !done.get(); n++) {
                int number = n;
                open.incrementAndGet();
                Rig.start("client", () -> {
                    request(rig, port, number, counts);
                    open.decrementAndGet();
                });
                Rig.sleep(SHORT_EVERY_MS);
            }
        });
        List<Thread> readers = new ArrayList<>();
        for (int i = 0; i < READERS; i++) {
            String id = String.format("10a6%04x", i);
            readers.add(Rig.start("slow reader", () -> read(rig, port, id, counts)));
            Rig.sleep(READER_EVERY_MS);
        }
        for (Thread reader : readers) {
            reader.join();
        }
        done.set(true);
        others.join();
        while (open.get() > 0) {
            Rig.sleep(20);
        }
        rig.note("long: " + counts[0] + " served, " + counts[1] + " not; short: " + counts[2] + " served, " + counts[3]
                + " not");
    }

    private static synchronized void count(int[] counts, int index) {
        counts[index]++;
    }

    private static void read(Rig rig, int port, String id, int[] counts) {
        String line = null;
        int got = 0;
        String end = "whole";
        double sentMs = Rig.now();
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(PIECE);
            socket.connect(new InetSocketAddress("127.0.0.1", port));
            socket.setSoTimeout(WAIT_MS);
            socket.getOutputStream().write(
                    Rig.bytes("mg miss-big-" + LONG_VALUE + "-" + id + " v O" + id + " Pc=seg-text,d=" + READ_MS + "\r\n"));
            sentMs = Rig.now();
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            int b = in.read();
            for (; b >= 0 && b != '\n'; b = in.read()) {
                head.append((char) b);
            }
            line = b < 0 ? null : head.toString().trim();
            judge(rig, "long " + id, line, "closed", READ_MS, sentMs);
            if (line != null && line.startsWith("VA ")) {
                byte[] piece = new byte[PIECE];
                for (int n = in.read(piece); n >= 0 && (got += n) < LONG_VALUE + 2; n = in.read(piece)) {
                    Rig.sleep(PIECE_EVERY_MS);
                }
                if (got < LONG_VALUE + 2) {
                    end = "cut off";
                    rig.broken("long " + id + ": the value was cut off after " + got + " bytes");
                }
            }
        } catch (IOException e) {
            end = e.getMessage();
            judge(rig, "long " + id, null, end, READ_MS, sentMs);
        }
        count(counts, line != null && line.startsWith("VA ") && end.equals("whole") ? 0 : 1);
        rig.note("long " + id + ": " + got + " bytes, " + end + ", " + Math.round(Rig.now() - sentMs) + " ms");
    }

    private static void request(Rig rig, int port, int number, int[] counts) {
        String id = String.format("5407%05x", number);
        boolean write = number % 10 == 0;
        int timeMs = write ? WRITE_MS : READ_MS;
        String line = null;
        String end = "closed";
        double sentMs = Rig.now();
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(WAIT_MS);
            socket.getOutputStream().write(Rig.bytes(
                    write
                            ? "ms fix-" + number + " 5 O" + id + " Pc=fix-submit,d=" + timeMs + "\r\nhello\r\n"
                            : "mg text-" + number + " v O" + id + " Pc=seg-text,d=" + timeMs + "\r\n"));
            sentMs = Rig.now();
            line = new Lines(socket.getInputStream()).line();
        } catch (IOException e) {
            end = e.getMessage();
        }
        count(counts, line != null && (line.startsWith("VA ") || line.startsWith("HD ")) ? 2 : 3);
        judge(rig, (write ? "write " : "read ") + id, line, end, timeMs, sentMs);
    }

    private static void judge(Rig rig, String what, String line, String end, int timeMs, double sentMs) {
        long tookMs = Math.round(Rig.now() - sentMs);
        rig.note(what + " got " + line + " after " + tookMs + " ms");
        if (line == null) {
            rig.broken(what + " (" + timeMs + " ms) got no answer: " + end + " after " + tookMs + " ms");
        } else if (tookMs > timeMs + Rig.ANSWER_SLACK_MS + Rig.SOCKET_SLACK_MS) {
            rig.broken(what + " (" + timeMs + " ms) got its answer after " + tookMs + " ms: " + line);
        }
    }
}
