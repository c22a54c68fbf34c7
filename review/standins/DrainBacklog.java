import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A planned restart: SIGTERM. A client goes on sending commands, many at once, on a connection that is in use and stays
 * open. All that it had sent well before the proxy ended that connection has to get a final answer.
 */
final class DrainBacklog {
    private static final int ROUNDS = 8;
    private static final int COMMANDS_AT_ONCE = 30;
    private static final int EVERY_MS = 100;
    private static final int NODE_MS = 120;
    private static final long TERM_AFTER_MS = 500;
    private static final long SEND_FOR_MS = 2200;
    /** The longest deadline and 0.7 s. */
    private static final long KILL_AFTER_MS = 1700;
    /** What was sent later than this before the end of the connection may have crossed that end. */
    private static final double CROSSING_MS = 150;

    private record Sent(String id, double atMs) {}

    public static void main(String[] args) throws IOException {
        Rig.main(args, DrainBacklog::run);
    }

    private static void run(Rig rig) throws Exception {
        Deployment deployment = new Deployment();
        for (int i = 0; i < 6; i++) {
            CacheNode node = new CacheNode(rig, "node" + i);
            node.work = c -> NODE_MS;
            deployment.cacheNode(i, node.port());
        }
        deployment.origin(new Origin(rig).port());
        Discovery discovery = new Discovery(deployment);
        for (int round = 0; round < ROUNDS; round++) {
            int port = Rig.freePort();
            String name = "p" + round;
            ProxyProcess proxy = new ProxyProcess(rig, name, port, deployment.config(name, port, discovery.port()));
            proxy.awaitReady();
            Rig.sleep(1000);
            round(rig, proxy, round);
            proxy.kill();
        }
    }

    private static void round(Rig rig, ProxyProcess proxy, int round) throws Exception {
        List<Sent> sent = new ArrayList<>();
        List<String> answered = new ArrayList<>();
        double[] endMs = new double[1];
        double begunMs = Rig.now();
        double termMs = 0;
        try (Socket socket = new Socket("127.0.0.1", proxy.port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(4000);
            Thread reader = Rig.start("reader", () -> {
                String end = readAnswers(rig, socket, answered);
                endMs[0] = Rig.now();
                rig.note("round " + round + ": the client's connection ended: " + end);
            });
            while (endMs[0] == 0 && Rig.now() - begunMs < SEND_FOR_MS) {
                if (rig.trouble && termMs == 0 && Rig.now() - begunMs > TERM_AFTER_MS) {
                    proxy.signal("TERM");
                    termMs = Rig.now();
                }
                StringBuilder commands = new StringBuilder();
                List<Sent> batch = new ArrayList<>();
                for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
                    String id = String.format("d%03x%05x", round, sent.size() + i);
                    commands.append("mg key-" + id + " v O" + id + " Pc=seg-text,d=1000\r\n");
                    batch.add(new Sent(id, 0));
                }
                try {
                    socket.getOutputStream().write(Rig.bytes(commands.toString()));
                } catch (IOException e) {
                    rig.note("round " + round + ": the client can't send any more: " + e.getMessage());
                    break;
                }
                double atMs = Rig.now();
                batch.forEach(s -> sent.add(new Sent(s.id, atMs)));
                rig.note("round " + round + ": client sent " + batch.get(0).id + " to " + batch.get(batch.size() - 1).id);
                Rig.sleep(EVERY_MS);
            }
            while (endMs[0] == 0 && answered.size() < sent.size() && Rig.now() - begunMs < SEND_FOR_MS + 2500) {
                Rig.sleep(10);
            }
            if (endMs[0] == 0) {
                socket.shutdownOutput();
            }
            reader.join(1000);
        }
        if (rig.trouble) {
            Rig.sleep((long) Math.max(0, termMs + KILL_AFTER_MS - Rig.now()));
            proxy.signal("KILL");
        }
        judge(rig, round, sent, answered, endMs[0], termMs);
    }

    private static void judge(
            Rig rig, int round, List<Sent> sent, List<String> answered, double endMs, double termMs) {
        List<Sent> lost = new ArrayList<>();
        for (Sent s : sent.subList(answered.size(), sent.size())) {
            if (endMs - s.atMs > CROSSING_MS) {
                lost.add(s);
            }
        }
        rig.note(String.format(
                "round %d: %d sent, %d answered, end %.0f ms after SIGTERM; %d not answered, %d of them sent over"
                        + " %.0f ms before the end",
                round, sent.size(), answered.size(), termMs == 0 ? 0 : endMs - termMs,
                sent.size() - answered.size(), lost.size(), CROSSING_MS));
        if (!lost.isEmpty()) {
            Sent first = lost.get(0);
            rig.broken(String.format(
                    "round %d: %d requests that were sent over %.0f ms before the connection's end got no answer;"
                            + " the first, %s, was sent %.0f ms before",
                    round, lost.size(), CROSSING_MS, first.id, endMs - first.atMs));
        }
    }

    /** Reads answers until the connection ends; tells how it ended. They come in the order of the commands. */
    private static String readAnswers(Rig rig, Socket socket, List<String> answered) {
        try {
            Lines in = new Lines(socket.getInputStream());
            for (String line = in.line(); line != null; line = in.line()) {
                if (line.startsWith("VA ") && in.bytes(Integer.parseInt(line.split(" ")[1]) + 2) == null) {
                    return "in the middle of a value";
                }
                answered.add(line);
                rig.note("client got answer " + answered.size() + ": " + line);
            }
            return "closed";
        } catch (IOException e) {
            return e.getMessage();
        }
    }
}
