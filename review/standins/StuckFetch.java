import java.io.IOException;
import java.net.Socket;

/**
 * One answer of the origin gets lost, and the client that asked for it leaves while another waits for the same key. The
 * key has to be fetched again in the calm that follows.
 */
final class StuckFetch {
    private static final int LATER_REQUESTS = 20;
    private static final long EVERY_MS = 1500;
    private static final String LOST = "aaaa0001";

    public static void main(String[] args) throws IOException {
        Rig.main(args, StuckFetch::run);
    }

    private static void run(Rig rig) throws Exception {
        Deployment deployment = new Deployment();
        for (int i = 0; i < 4; i++) {
            deployment.cacheNode(i, new CacheNode(rig, "node" + i).port());
        }
        Origin origin = new Origin(rig);
        origin.work = c -> rig.trouble && c.id().equals(LOST) ? 1_000_000 : 150;
        deployment.origin(origin.port());
        Discovery discovery = new Discovery(deployment);
        int port = Rig.freePort();
        ProxyProcess proxy = new ProxyProcess(rig, "p0", port, deployment.config("p0", port, discovery.port()));
        proxy.awaitReady();
        Rig.sleep(500);
        Socket first = new Socket("127.0.0.1", port);
        first.getOutputStream().write(Rig.bytes("mg miss-K v O" + LOST + " Pc=seg-text,d=1000\r\n"));
        Rig.sleep(60);
        Thread second = Rig.start("second client", () -> ask(rig, port, "bbbb0001"));
        Rig.sleep(60);
        first.close();
        rig.note("the first client has left");
        second.join();
        int served = 0;
        for (int i = 0; i < LATER_REQUESTS; i++) {
            Rig.sleep(EVERY_MS);
            served += ask(rig, port, String.format("cccc%04x", i)) ? 1 : 0;
        }
        rig.note(served + " of " + LATER_REQUESTS + " later requests for the key were served");
        if (served == 0) {
            rig.broken("none of " + LATER_REQUESTS + " later requests for the key was served");
        }
    }

    private static boolean ask(Rig rig, int port, String id) {
        double sentMs = Rig.now();
        String line = null;
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(Rig.bytes("mg miss-K v O" + id + " Pc=seg-text,d=1000\r\n"));
            line = new Lines(socket.getInputStream()).line();
        } catch (IOException e) {
            rig.note("client of " + id + ": " + e.getMessage());
        }
        rig.note("client got for " + id + ": " + line + " after " + Math.round(Rig.now() - sentMs) + " ms");
        return line != null && line.startsWith("VA ");
    }
}
