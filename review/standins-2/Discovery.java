import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery: tells the whole list, or what has changed since a version; a watch waits for that. */
final class Discovery implements AutoCloseable {
    private static final long FIRST_VERSION = 41;

    private record Entry(long version, String json) {}

    private final Map<String, Entry> hosts = new LinkedHashMap<>();
    private final List<Entry> removed = new ArrayList<>();
    private final Acceptor acceptor;
    private long version = FIRST_VERSION;

    Discovery() throws IOException {
        acceptor = new Acceptor(0, this::serve);
    }

    private static String entry(String host, String dial, String kind, String health) {
        return ("{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"a\",\"class\":\"%s\",\"block\":1,"
                        + "\"health\":\"%s\",\"share\":1.0,\"born_ms\":0}")
                .formatted(host, dial, kind, health);
    }

    /** Adds a host, before the proxy starts. */
    synchronized void add(String host, String dial, String kind) {
        hosts.put(host, new Entry(version, entry(host, dial, kind, "up")));
    }

    /** Removes a host and tells so. */
    synchronized void remove(String host, String dial, String kind) {
        version++;
        hosts.remove(host);
        removed.add(new Entry(version, entry(host, dial, kind, "removed")));
        Record.line("discovery: %s is removed, version %d", host, version);
        notifyAll();
    }

    synchronized String list() {
        return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":["
                + String.join(",", hosts.values().stream().map(Entry::json).toList()) + "]}";
    }

    private synchronized String changes(long since, long waitMs) throws InterruptedException {
        long until = System.nanoTime() + waitMs * 1_000_000;
        for (long left; version <= since && (left = (until - System.nanoTime()) / 1_000_000) > 0; ) {
            wait(left);
        }
        List<String> changed = new ArrayList<>();
        hosts.values().stream().filter(e -> e.version() > since).forEach(e -> changed.add(e.json()));
        removed.stream().filter(e -> e.version() > since).forEach(e -> changed.add(e.json()));
        return "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[" + String.join(",", changed) + "]}";
    }

    String address() {
        return acceptor.address();
    }

    private static long parameter(String request, String name) {
        return request.matches(".*[?&]" + name + "=\\d+.*")
                ? Long.parseLong(request.replaceFirst(".*[?&]" + name + "=(\\d+).*", "$1"))
                : -1;
    }

    private void serve(Socket socket) throws Exception {
        Lines in = new Lines(socket.getInputStream(), 8192);
        OutputStream out = socket.getOutputStream();
        for (String request; (request = in.line()) != null; ) {
            for (String header; (header = in.line()) != null && !header.isEmpty(); ) {
                // not used
            }
            long since = parameter(request, "since");
            String body = since < FIRST_VERSION
                    ? list()
                    : changes(since, Math.min(60_000, Math.max(0, parameter(request, "timeout_ms"))));
            out.write(Lines.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body));
        }
    }

    @Override
    public void close() throws IOException {
        acceptor.close();
    }
}
