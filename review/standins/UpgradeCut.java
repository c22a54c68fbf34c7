import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A cache node gives a long value in pieces while the proxy is upgraded. The old process may not cut it off as long as
 * the platform leaves it alive.
 */
final class UpgradeCut {
    private static final int ROUNDS = 4;
    private static final int LONG_VALUE = 2 << 20;
    private static final int CLIENTS = 4;
    /** The longest deadline and 0.7 s. */
    private static final long KILL_AFTER_MS = 1700;

    public static void main(String[] args) throws IOException {
        Rig.main(args, UpgradeCut::run);
    }

    private static void run(Rig rig) throws Exception {
        Deployment deployment = new Deployment();
        for (int i = 0; i < 4; i++) {
            CacheNode node = new CacheNode(rig, "node" + i);
            node.pieceBytes = LONG_VALUE / 34; // 1.7 s for the whole value
            deployment.cacheNode(i, node.port());
        }
        deployment.origin(new Origin(rig).port());
        Discovery discovery = new Discovery(deployment);
        int port = Rig.freePort();
        int operator = Rig.freePort();
        ProxyProcess old =
                new ProxyProcess(rig, "p0", port, deployment.config("p0", port, discovery.port(), operator), "p0");
        old.awaitHealthy(operator);
        for (int round = 0; round < ROUNDS; round++) {
            Rig.sleep(1500);
            // The clients come to the old process, as the new one does not serve yet.
            int nextOperator = Rig.freePort();
            ProxyProcess next = !rig.trouble
                    ? null
                    : new ProxyProcess(
                            rig,
                            "p0-" + (round + 1),
                            port,
                            deployment.config("p0", port, discovery.port(), nextOperator),
                            "p0");
            Rig.sleep(300);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String id = String.format("c11e%04x%d", round, i);
                clients.add(Rig.start("client", () -> read(rig, port, id)));
            }
            if (rig.trouble) {
                next.awaitHealthy(nextOperator);
                old.signal("TERM");
                Rig.sleep(KILL_AFTER_MS);
                old.signal("KILL");
                old = next;
            }
            for (Thread client : clients) {
                client.join();
            }
        }
    }

    private static void read(Rig rig, int port, String id) {
        String key = "big-" + LONG_VALUE + "-" + id;
        int got = 0;
        double sentMs = Rig.now();
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(6000);
            socket.getOutputStream().write(Rig.bytes("mg " + key + " v O" + id + " Pc=seg-text,d=1000\r\n"));
            rig.note("client sent " + id);
            Lines in = new Lines(socket.getInputStream());
            String line = in.line();
            rig.note("client got for " + id + ": " + line);
            if (line != null && line.startsWith("VA ")) {
                while (got < LONG_VALUE + 2 && in.read() >= 0) {
                    got++;
                }
            }
        } catch (IOException e) {
            rig.note("client of " + id + ": " + e.getMessage());
        }
        long tookMs = Math.round(Rig.now() - sentMs);
        rig.note("client of " + id + " had " + got + " bytes after " + tookMs + " ms");
        if (got < LONG_VALUE + 2) {
            rig.broken("the value for " + id + " was cut off after " + got + " bytes, " + tookMs + " ms");
        }
    }
}
