import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;

/** The origin: HTTP/1.1, one request after another on a connection. What it answers, and when, the case tells. */
final class Origin implements AutoCloseable {
    /**
     * A request that has come to its last byte.
     *
     * @param key of the object
     * @param id of the request
     * @param extra the list of names and values
     */
    record Request(boolean write, String key, String id, String extra, byte[] body) {}

    /** A proxy that has closed its connection by the request's last byte has given the request up. */
    private static final int GIVEN_UP_MS = 20;

    /** Carries out a request and gives the bytes of the answer. */
    interface Behaviour {
        byte[] answer(Request request) throws InterruptedException;
    }

    private final Behaviour behaviour;
    private final double bytesPerMs;
    private final Acceptor acceptor;

    /** {@code bytesPerMs}: how fast it reads the bodies of writes; 0 for at once. */
    Origin(double bytesPerMs, Behaviour behaviour) throws IOException {
        this.behaviour = behaviour;
        this.bytesPerMs = bytesPerMs;
        acceptor = new Acceptor(bytesPerMs > 0 ? 32 << 10 : 0, this::serve);
    }

    String address() {
        return acceptor.address();
    }

    private void serve(Socket socket) throws Exception {
        Lines in = new Lines(socket.getInputStream(), 8192);
        OutputStream out = socket.getOutputStream();
        for (String line; (line = in.line()) != null; ) {
            String id = "";
            String extra = "";
            int length = 0;
            for (String header; (header = in.line()) != null && !header.isEmpty(); ) {
                String lower = header.toLowerCase(java.util.Locale.ROOT);
                String text = header.substring(header.indexOf(':') + 1).trim();
                if (lower.startsWith("req-id:")) {
                    id = text;
                } else if (lower.startsWith("req-extra:")) {
                    extra = text;
                } else if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(text);
                }
            }
            byte[] body = new byte[length];
            double began = Record.now();
            for (int at = 0; at < length; ) {
                int part = Math.min(8192, length - at);
                System.arraycopy(in.bytes(part), 0, body, at, part);
                at += part;
                if (bytesPerMs > 0) {
                    CacheNode.pause(began + at / bytesPerMs - Record.now());
                }
            }
            if (length > 0 && in.endsWithin(socket, GIVEN_UP_MS)) {
                Record.line("origin: does not begin %s, the proxy has given it up", id);
                return;
            }
            String[] words = line.split(" ");
            String key = words[1].substring(1);
            out.write(behaviour.answer(new Request(words[0].equals("PUT"), key, id, extra, body)));
        }
    }

    static byte[] ok(byte[] body) {
        byte[] head = Lines.ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    @Override
    public void close() throws IOException {
        acceptor.close();
    }
}
