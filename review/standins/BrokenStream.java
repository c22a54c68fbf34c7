import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A client sends several commands at once. The first one's value is long, and the cache node's connection is reset in
 * the middle of it. What came behind it has to get its final answers all the same.
 */
final class BrokenStream {
    private static final int ROUNDS = 12;
    private static final int LONG_VALUE = 512 << 10;

    public static void main(String[] args) throws IOException {
        Rig.main(args, BrokenStream::run);
    }

    private static void run(Rig rig) throws Exception {
        Deployment deployment = new Deployment();
        List<CacheNode> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            CacheNode node = new CacheNode(rig, "node" + i);
            if (rig.trouble) {
                node.resetAfter = c -> c.key().startsWith("big-") ? LONG_VALUE / 2 : -1;
            }
            nodes.add(node);
            deployment.cacheNode(i, node.port());
        }
        Origin origin = new Origin(rig);
        deployment.origin(origin.port());
        Discovery discovery = new Discovery(deployment);
        int port = Rig.freePort();
        ProxyProcess proxy = new ProxyProcess(rig, "p0", port, deployment.config("p0", port, discovery.port()));
        proxy.awaitReady();
        Rig.sleep(1000);
        for (int round = 0; round < ROUNDS; round++) {
            round(rig, origin, port, round);
            Rig.sleep(300);
        }
    }

    private static void round(Rig rig, Origin origin, int port, int round) throws IOException {
        String[] ids = new String[4];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = String.format("O%07x%d", 0xabc000 + round, i).substring(1);
        }
        String[] keys = {"big-" + LONG_VALUE + "-" + round, "text-a-" + round, "text-b-" + round, "fix-" + round};
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < 3; i++) {
            commands.append("mg " + keys[i] + " v O" + ids[i] + " Pc=seg-text,d=1000\r\n");
        }
        commands.append("ms " + keys[3] + " 5 O" + ids[3] + " Pc=fix-submit,d=600\r\nhello\r\n");
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            // Longer than each request's time with all that the pages add to it.
            socket.setSoTimeout(2500);
            socket.getOutputStream().write(Rig.bytes(commands.toString()));
            socket.getOutputStream().flush();
            double sentMs = Rig.now();
            rig.note("round " + round + ": client sent 4 commands at once: " + String.join(" ", ids));
            Lines in = new Lines(socket.getInputStream());
            int answered = 0;
            String end = "";
            try {
                while (answered < 4 && readAnswer(rig, in, keys, ids, answered)) {
                    answered++;
                }
            } catch (IOException e) {
                end = " (" + e.getMessage() + ")";
            }
            double tookMs = Rig.now() - sentMs;
            rig.note(String.format("round %d: %d whole answers, end after %.0f ms%s", round, answered, tookMs, end));
            Rig.sleep(200); // the origin may still be at work on the write
            for (int i = Math.max(1, answered); i < 4; i++) {
                rig.broken("round " + round + ": the connection ended with no answer to " + ids[i] + " (" + keys[i]
                        + ")" + (i == 3 ? ", which the origin carried out "
                                + (origin.writes.containsKey(ids[3]) ? origin.writes.get(ids[3]).get() : 0)
                                + " times" : ""));
            }
        }
    }

    /** Reads one whole answer; false if the connection ended before it or within it. */
    private static boolean readAnswer(Rig rig, Lines in, String[] keys, String[] ids, int index) throws IOException {
        String line = in.line();
        if (line == null) {
            return false;
        }
        if (line.startsWith("VA ")) {
            byte[] value = in.bytes(Integer.parseInt(line.split(" ")[1]) + 2);
            if (value == null) {
                rig.note("the value for " + ids[index] + " broke off");
                return false;
            }
            String text = Lines.text(value);
            if (!ids[index].equals(Lines.flag(line, 'O'))
                    || !text.equals(CacheNode.value(keys[index], ids[index]) + "\r\n")) {
                rig.broken("answer to " + ids[index] + " holds what was not made for it: " + line);
            }
        }
        rig.note("client got for " + ids[index] + ": " + line);
        return true;
    }
}
