import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The cache nodes have just started and lack all keys, so that the origin has much to do. Some of its answers are
 * followed by a second copy some milliseconds later. A client must not get what was made for another request.
 */
final class SecondAnswers {
    private static final int CLIENTS = 80;
    private static final int REQUESTS_PER_S = 280;
    private static final int RUN_MS = 70_000;
    private static final int ORIGIN_MS = 110;
    private static final int COPY_AFTER_MS = 4;
    private static final double ONE_WAY_MS = 2;
    private static final int ONE_COPY_IN = 25;
    private static final int ONE_DECLINED_IN = 40;

    public static void main(String[] args) throws IOException {
        Rig.main(args, SecondAnswers::run);
    }

    private static void run(Rig rig) throws Exception {
        Deployment deployment = new Deployment();
        deployment.proxies = 7;
        for (int i = 0; i < 6; i++) {
            deployment.cacheNode(i, new CacheNode(rig, "node" + i).port());
        }
        Origin origin = new Origin(rig);
        Random random = new Random(7);
        origin.work = c -> ORIGIN_MS + (long) (20 * random.nextGaussian());
        origin.declines = c -> random.nextInt(ONE_DECLINED_IN) == 0;
        if (rig.trouble) {
            origin.secondCopyAfter = c -> random.nextInt(ONE_COPY_IN) == 0 ? (long) COPY_AFTER_MS : null;
        }
        deployment.origin(new Relay(origin.port(), ONE_WAY_MS).port());
        Discovery discovery = new Discovery(deployment);
        int port = Rig.freePort();
        ProxyProcess proxy = new ProxyProcess(rig, "p0", port, deployment.config("p0", port, discovery.port()));
        proxy.awaitReady();
        Rig.sleep(1000);
        AtomicInteger number = new AtomicInteger();
        int[] counts = new int[4]; // served, refused, failed, foreign
        List<Thread> clients = new ArrayList<>();
        double endMs = Rig.now() + RUN_MS;
        for (int i = 0; i < CLIENTS; i++) {
            long everyMs = 1000L * CLIENTS / REQUESTS_PER_S;
            Random pace = new Random(i);
            clients.add(Rig.start("client", () -> client(rig, port, endMs, everyMs, pace, number, counts)));
        }
        for (Thread client : clients) {
            client.join();
        }
        rig.note("served " + counts[0] + " refused " + counts[1] + " failed " + counts[2] + " foreign " + counts[3]
                + "; second copies " + origin.secondCopies + ", withheld " + origin.withheldCopies
                + ", connections to the origin " + origin.connections);
        origin.writes.forEach((id, times) -> {
            if (times.get() > 1) {
                rig.broken("write " + id + " was carried out " + times + " times");
            }
        });
    }

    private static void client(
            Rig rig, int port, double endMs, long everyMs, Random pace, AtomicInteger number, int[] counts) {
        Socket socket = null;
        Lines in = null;
        Rig.sleep(pace.nextInt((int) everyMs));
        while (Rig.now() < endMs) {
            double nextMs = Rig.now() + everyMs * (0.5 + pace.nextDouble());
            int n = number.incrementAndGet();
            String id = String.format("%016x", 0x7f3a000000000000L + n);
            boolean write = n % 20 == 0;
            String key = "miss-" + n;
            try {
                if (socket == null) {
                    socket = new Socket("127.0.0.1", port);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(3000);
                    in = new Lines(socket.getInputStream());
                }
                String command = write
                        ? "ms " + key + " 5 O" + id + " Pc=fix-submit,d=600\r\nhello\r\n"
                        : "mg " + key + " v O" + id + " Pc=seg-text,d=1000\r\n";
                socket.getOutputStream().write(Rig.bytes(command));
                check(rig, in, key, id, counts);
            } catch (IOException e) {
                rig.note("client of " + id + ": " + e.getMessage());
                if (socket != null) {
                    Rig.close(socket);
                }
                socket = null;
            }
            Rig.sleep((long) Math.max(0, nextMs - Rig.now()));
        }
    }

    private static void check(Rig rig, Lines in, String key, String id, int[] counts) throws IOException {
        String line = in.line();
        if (line == null) {
            throw new IOException("closed with no answer");
        }
        String got = line;
        boolean served = line.startsWith("VA ") || line.startsWith("HD ");
        boolean right = true;
        if (line.startsWith("VA ")) {
            byte[] value = in.bytes(Integer.parseInt(line.split(" ")[1]) + 2);
            if (value == null) {
                throw new IOException("value broke off");
            }
            got = line + " " + Lines.text(value).trim();
            right = Lines.text(value).equals(CacheNode.value(key, id) + "\r\n");
        } else if (line.startsWith("HD ")) {
            right = Origin.receipt(id).equals(Lines.flag(line, 'c'));
        }
        rig.note("client got for " + id + " " + key + ": " + got);
        synchronized (counts) {
            counts[served ? 0 : line.startsWith("SERVER_ERROR busy") ? 1 : 2]++;
            counts[3] += right ? 0 : 1;
        }
        if (!right) {
            rig.broken("request " + id + " for " + key + " was served with another request's: " + got);
        }
    }
}
