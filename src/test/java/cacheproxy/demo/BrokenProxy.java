package cacheproxy.demo;

import cacheproxy.emulator.EmulatedFleet;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A proxy that breaks one rule on purpose, in front of an emulated fleet. Reads go to the node selected by the key's
 * hash, misses and writes to the origin. Apart from the configured breach it is correct, so that the oracle sees only
 * that.
 */
final class BrokenProxy implements Closeable {
    /** The rule breach. */
    enum Breach {
        NONE,
        LOSES_ANSWERS,
        ANSWERS_TWICE,
        REPEATS_WRITES,
        REFUSES_WHAT_RAN,
        KEEPS_VALUES,
        MIXES_KEYS,
        CUTS_VALUES,
        IGNORES_DRAINS,
        FLOODS_COLD_NODES
    }

    private final EmulatedFleet fleet;
    private final List<InetSocketAddress> nodes;
    private final Breach breach;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Map<String, String> kept = new ConcurrentHashMap<>();

    BrokenProxy(EmulatedFleet fleet, Breach breach) throws IOException {
        this.fleet = fleet;
        this.breach = breach;
        nodes = List.copyOf(fleet.nodes(0).values());
        daemon(() -> {
            while (true) {
                Socket client = server.accept();
                daemon(() -> serve(client));
            }
        });
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // socket closed
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b; (b = in.read()) != '\n'; ) {
            if (b < 0) {
                throw new IOException("ended");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).trim();
    }

    private static String word(String line, char flag) {
        for (String w : line.split(" ")) {
            if (w.charAt(0) == flag) {
                return w.substring(1);
            }
        }
        throw new IllegalArgumentException(line);
    }

    private void serve(Socket client) throws IOException {
        try (client) {
            InputStream in = new BufferedInputStream(client.getInputStream());
            for (int n = 1; ; n++) {
                String command = line(in);
                String key = command.split(" ")[1];
                String id = word(command, 'O');
                String answer;
                if (command.startsWith("ms ")) {
                    in.readNBytes(Integer.parseInt(command.split(" ")[2]) + 2);
                    answer = write(key, id, word(command, 'P'));
                } else {
                    answer = read(command, key, id);
                }
                if (breach == Breach.LOSES_ANSWERS && n % 5 == 0) {
                    continue;
                }
                client.getOutputStream()
                        .write((breach == Breach.ANSWERS_TWICE && n % 5 == 0 ? answer + answer : answer)
                                .getBytes(StandardCharsets.ISO_8859_1));
            }
        }
    }

    private String read(String command, String key, String id) throws IOException {
        String value = breach == Breach.KEEPS_VALUES ? kept.get(key) : null;
        if (value == null) {
            value = fetch(command, key, id);
            kept.put(key, value);
        }
        if (breach == Breach.MIXES_KEYS) {
            value = kept.values().iterator().next();
        } else if (breach == Breach.CUTS_VALUES) {
            value = value.substring(0, value.length() - 1);
        }
        return "VA " + value.length() + " O" + id + "\r\n" + value + "\r\n";
    }

    private String fetch(String command, String key, String id) throws IOException {
        int at = breach == Breach.IGNORES_DRAINS || breach == Breach.FLOODS_COLD_NODES
                ? 0
                : Math.floorMod(key.hashCode(), nodes.size());
        try (Socket node = new Socket(nodes.get(at).getAddress(), nodes.get(at).getPort())) {
            InputStream in = new BufferedInputStream(node.getInputStream());
            int copies = breach == Breach.FLOODS_COLD_NODES ? 300 : 1;
            node.getOutputStream().write((command + "\r\n").repeat(copies).getBytes(StandardCharsets.ISO_8859_1));
            String line = line(in);
            if (line.startsWith("VA ")) {
                return new String(in.readNBytes(Integer.parseInt(line.split(" ")[1])), StandardCharsets.ISO_8859_1);
            }
        }
        return origin("GET", key, id, word(command, 'P'));
    }

    private String write(String key, String id, String extras) throws IOException {
        String receipt = origin("PUT", key, id, extras);
        if (breach == Breach.REPEATS_WRITES) {
            receipt = origin("PUT", key, id, extras);
        }
        return breach == Breach.REFUSES_WHAT_RAN ? "SERVER_ERROR busy\r\n" : "HD O" + id + " c" + receipt + "\r\n";
    }

    private String origin(String method, String key, String id, String extras) throws IOException {
        InetSocketAddress to = fleet.originAddress();
        try (Socket socket = new Socket(to.getAddress(), to.getPort())) {
            socket.getOutputStream()
                    .write((method + " /" + key + " HTTP/1.1\r\nHost: o\r\nReq-Id: " + id + "\r\nReq-Extra: " + extras
                                    + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int length = 0;
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring(15).trim());
                }
            }
            return new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        }
    }
}
