import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients write values of 4 MiB slowly, in pieces. Another client hands over a write of 100 KiB at once; it has to
 * get its final answer half a second after its time at the latest.
 */
final class SlowWriters {
    private static final int ROUNDS = 6;
    private static final int SLOW_WRITERS = 6;
    private static final int LONG_VALUE = 4 << 20;
    private static final int VALUE = 100 << 10;
    private static final int PIECE = 40_000;
    private static final int PIECE_EVERY_MS = 40;

    public static void main(String[] args) throws IOException {
        Rig.main(args, SlowWriters::run);
    }

    private static void run(Rig rig) throws Exception {
        Deployment deployment = new Deployment();
        for (int i = 0; i < 4; i++) {
            deployment.cacheNode(i, new CacheNode(rig, "node" + i).port());
        }
        Origin origin = new Origin(rig);
        deployment.origin(origin.port());
        Discovery discovery = new Discovery(deployment);
        int port = Rig.freePort();
        ProxyProcess proxy = new ProxyProcess(rig, "p0", port, deployment.config("p0", port, discovery.port()));
        proxy.awaitReady();
        Rig.sleep(1000);
        for (int round = 0; round < ROUNDS; round++) {
            AtomicInteger done = new AtomicInteger();
            for (int i = 0; rig.trouble && i < SLOW_WRITERS; i++) {
                String id = String.format("510%05x%d", round, i);
                Rig.start("slow writer", () -> {
                    writeSlowly(rig, port, id);
                    done.incrementAndGet();
                });
            }
            Thread[] writers = new Thread[8];
            for (int i = 0; i < writers.length; i++) {
                Rig.sleep(150);
                String id = String.format("fa5%05x%d", round, i);
                boolean keyed = i % 2 == 1;
                writers[i] = Rig.start(
                        "writer", () -> write(rig, port, id, keyed ? "track-publish" : "fix-submit", keyed ? 1000 : 600));
            }
            for (Thread writer : writers) {
                writer.join();
            }
            while (rig.trouble && done.get() < SLOW_WRITERS) {
                Rig.sleep(20);
            }
        }
    }

    private static byte[] value(int length) {
        byte[] value = new byte[length + 2];
        Arrays.fill(value, (byte) 'x');
        value[length] = '\r';
        value[length + 1] = '\n';
        return value;
    }

    private static String command(String id, int length, String serviceClass, int timeMs) {
        String key = serviceClass.equals("track-publish") ? ",k=5c0f" + id : "";
        return "ms key" + id + " " + length + " O" + id + " Pc=" + serviceClass + ",d=" + timeMs + key + "\r\n";
    }

    private static void writeSlowly(Rig rig, int port, String id) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(10_000);
            OutputStream out = socket.getOutputStream();
            double begunMs = Rig.now();
            out.write(Rig.bytes(command(id, LONG_VALUE, "track-publish", 1000)));
            byte[] value = value(LONG_VALUE);
            for (int at = 0; at < value.length; at += PIECE) {
                out.write(value, at, Math.min(PIECE, value.length - at));
                Rig.sleep(PIECE_EVERY_MS);
            }
            double sentMs = Rig.now();
            rig.note("slow writer " + id + " wrote " + LONG_VALUE + " bytes in " + Math.round(sentMs - begunMs) + " ms");
            String answer = new Lines(socket.getInputStream()).line();
            rig.note("slow writer " + id + " got " + answer + " after " + Math.round(Rig.now() - sentMs) + " ms");
        } catch (IOException e) {
            rig.note("slow writer " + id + ": " + e.getMessage());
        }
    }

    private static void write(Rig rig, int port, String id, String serviceClass, int timeMs) {
        String answer = null;
        double sentMs = Rig.now();
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(8000);
            byte[] line = Rig.bytes(command(id, VALUE, serviceClass, timeMs));
            byte[] whole = Arrays.copyOf(line, line.length + VALUE + 2);
            System.arraycopy(value(VALUE), 0, whole, line.length, VALUE + 2);
            socket.getOutputStream().write(whole);
            sentMs = Rig.now();
            rig.note("client wrote all of " + id + " (" + serviceClass + ", " + timeMs + " ms)");
            answer = new Lines(socket.getInputStream()).line();
        } catch (IOException e) {
            rig.note("client of " + id + ": " + e.getMessage());
        }
        long tookMs = Math.round(Rig.now() - sentMs);
        rig.note("client got for " + id + ": " + answer + " after " + tookMs + " ms");
        if (answer == null) {
            rig.broken(id + " (" + timeMs + " ms) got no answer");
        } else if (tookMs > timeMs + Rig.ANSWER_SLACK_MS + Rig.SOCKET_SLACK_MS) {
            rig.broken(id + " (" + timeMs + " ms) got its answer after " + tookMs + " ms: " + answer);
        }
    }
}
