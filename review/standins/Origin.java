import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/** The origin, over HTTP/1.1. It serves every connection on its own, and answers on one in order. */
final class Origin {
    record Command(boolean write, String key, String id, double begunMs) {}

    private final Rig rig;
    private final ServerSocket server = Rig.listen();
    /** How often each write was carried out, by the id of the request. */
    final Map<String, AtomicInteger> writes = new ConcurrentHashMap<>();

    /** How long it works on a request, in milliseconds. */
    volatile ToLongFunction<Command> work = c -> 40;
    /** Whether it turns a request away, as its queue is full. */
    volatile Predicate<Command> declines = c -> false;
    /** Whether an answer has no length and ends with its connection. */
    volatile Predicate<Command> withoutLength = c -> false;
    /** After how many milliseconds a second copy of the answer follows; null for none. */
    volatile Function<Command, Long> secondCopyAfter = c -> null;

    final AtomicInteger connections = new AtomicInteger();
    final AtomicInteger secondCopies = new AtomicInteger();
    /** Second copies that were not sent, as another request had come on the connection. */
    final AtomicInteger withheldCopies = new AtomicInteger();

    Origin(Rig rig) throws IOException {
        this.rig = rig;
        Rig.start("origin", () -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    connections.incrementAndGet();
                    Rig.start("origin connection", () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            Lines in = new Lines(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            AtomicInteger begun = new AtomicInteger();
            for (String line = in.line(); line != null; line = in.line()) {
                int number = begun.incrementAndGet();
                int length = 0;
                String id = "";
                for (String header = in.line(); header != null && !header.isEmpty(); header = in.line()) {
                    String lower = header.toLowerCase();
                    if (lower.startsWith("content-length:")) {
                        length = Integer.parseInt(header.substring(header.indexOf(':') + 1).trim());
                    } else if (lower.startsWith("req-id:")) {
                        id = header.substring(header.indexOf(':') + 1).trim();
                    }
                }
                if (length > 0 && in.bytes(length) == null) {
                    return;
                }
                String[] words = line.split(" ");
                String key = URLDecoder.decode(words[1].substring(1), StandardCharsets.ISO_8859_1);
                Command command = new Command(words[0].equals("PUT"), key, id, Rig.now());
                rig.note("origin got " + words[0] + " " + key + " id=" + id);
                boolean declined = declines.test(command);
                Rig.sleep(declined ? 5 : work.applyAsLong(command));
                String body = command.write ? receipt(id) : CacheNode.value(key, id);
                if (command.write && !declined) {
                    writes.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
                }
                boolean closes = !declined && withoutLength.test(command);
                byte[] answer = Rig.bytes(
                        declined
                                ? "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
                                : "HTTP/1.1 200 OK\r\n"
                                        + (closes ? "Connection: close" : "Content-Length: " + body.length())
                                        + "\r\n\r\n" + body);
                synchronized (out) {
                    out.write(answer);
                    out.flush();
                }
                rig.note("origin " + (declined ? "declined " : "answered ") + id);
                if (closes) {
                    socket.shutdownOutput();
                    while (in.read() >= 0) {}
                    return;
                }
                Long copyAfter = secondCopyAfter.apply(command);
                if (copyAfter != null) {
                    sendCopy(out, answer, id, copyAfter, begun, number);
                }
            }
        } catch (IOException e) {
            // The proxy has closed the connection.
        }
    }

    /** Sends a second copy of an answer a little later, unless something else waits on the connection by then. */
    private void sendCopy(
            OutputStream out, byte[] answer, String id, long afterMs, AtomicInteger begun, int number) {
        Rig.start("second copy", () -> {
            Rig.sleep(afterMs);
            synchronized (out) {
                if (begun.get() != number) {
                    withheldCopies.incrementAndGet();
                    return;
                }
                try {
                    out.write(answer);
                    out.flush();
                    secondCopies.incrementAndGet();
                    rig.note("origin sent a second copy of the answer to " + id);
                } catch (IOException e) {
                    // The proxy has closed the connection.
                }
            }
        });
    }

    static String receipt(String id) {
        return "r" + id;
    }
}
