package cacheproxy.proxy;

import cacheproxy.proxy.lifecycle.Proxy;
import cacheproxy.route.Routing;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/** A proxy under test on loopback sockets, with the fake servers and the clients that a test adds. */
final class ProxyFixture implements AutoCloseable {
    static final String SETTINGS = String.join(
            "\n",
            "balancers=1",
            "me=0",
            "locality=0",
            "zones=east,west",
            "kinds=node-fast,origin",
            "discovery=ask",
            "report.how=silent",
            "report.names=",
            "value-by=request",
            "over-share-worth=0.1",
            "caps.may-cancel=true",
            "caps.may-probe=false",
            "caps.peers=true",
            "caps.second-copies=true",
            "caps.retry-after=true",
            "caps.max-attempts=3",
            "caps.max-retry-after=500.0",
            "caps.connect-timeout=2000.0",
            "caps.idle-close=30000.0",
            "caps.streams-per-conn=128",
            "extra.mode=aside",
            "extra.origin-kind=1",
            "guarantees.drain-grace=2000.0",
            "guarantees.grace-to-answer=20.0",
            "guarantees.start-capacity=0.3",
            "guarantees.warm-up=9000.0",
            "guarantees.tip-multiple=3.0",
            "guarantees.fall=1500.0",
            "guarantees.ask-within=10000.0",
            "classes.count=3",
            "classes.0.name=text",
            "classes.0.idempotency=retryable",
            "classes.0.promise=20000.0",
            "classes.0.deadline=30000.0",
            "classes.0.gain=1.0",
            "classes.0.late-share=0.2",
            "classes.0.stream=false",
            "classes.1.name=fix",
            "classes.1.idempotency=fragile",
            "classes.1.promise=20000.0",
            "classes.1.deadline=30000.0",
            "classes.1.gain=5.0",
            "classes.1.late-share=0.3",
            "classes.1.stream=false",
            "classes.2.name=publish",
            "classes.2.idempotency=dedup",
            "classes.2.group=all",
            "classes.2.window=1500.0",
            "classes.2.promise=20000.0",
            "classes.2.deadline=30000.0",
            "classes.2.gain=10.0",
            "classes.2.late-share=0.2",
            "classes.2.stream=false");

    final JsonObject config = new JsonObject();
    /** Closed at the end; tests open clients from several threads. */
    final List<AutoCloseable> parts = new CopyOnWriteArrayList<>();

    private final JsonArray hosts = new JsonArray();
    Proxy proxy;
    private Path sharedFolder;
    /** The routes, or null for none; a test may replace them before a reload. */
    volatile Routing routing;

    ProxyFixture() {
        config.addProperty("name", "n0");
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("discovery", "127.0.0.1:9");
        config.addProperty("seed", "8c1f30d27a5be964");
        settings(SETTINGS);
    }

    ProxyFixture settings(String lines) {
        JsonObject settings = new JsonObject();
        for (String line : lines.split("\n")) {
            settings.addProperty(line.substring(0, line.indexOf('=')), line.substring(line.indexOf('=') + 1));
        }
        config.add("settings", settings);
        return this;
    }

    ProxyFixture set(String path, String value) {
        config.getAsJsonObject("settings").addProperty(path, value);
        return this;
    }

    ProxyFixture memory(int megabytes) {
        JsonObject limits = new JsonObject();
        limits.addProperty("memory_mb", megabytes);
        config.add("limits", limits);
        return this;
    }

    /** An entry of discovery's endpoint list. */
    static JsonObject host(String name, String kind, String dial, String health) {
        JsonObject h = new JsonObject();
        h.addProperty("host", name);
        h.addProperty("dial", dial);
        h.addProperty("site", "east");
        h.addProperty("class", kind);
        h.addProperty("block", 0);
        h.addProperty("health", health);
        h.addProperty("share", 1.0);
        h.addProperty("born_ms", 0);
        return h;
    }

    static JsonObject list(long seq, boolean whole, JsonArray hosts) {
        JsonObject list = new JsonObject();
        list.addProperty("seq", seq);
        list.addProperty("whole", whole);
        list.add("hosts", hosts);
        return list;
    }

    ProxyFixture node(FakeServer server) {
        hosts.add(host("s-%08x".formatted(hosts.size() + 1), "node-fast", server.dial(), "up"));
        parts.add(server);
        return this;
    }

    ProxyFixture node(String dial) {
        hosts.add(host("s-%08x".formatted(hosts.size() + 1), "node-fast", dial, "up"));
        return this;
    }

    /** Adds an entry to the endpoint list that the proxy starts with. */
    ProxyFixture host(JsonElement entry) {
        hosts.add(entry);
        return this;
    }

    ProxyFixture origin(FakeServer server) {
        parts.add(server);
        return origin(server.dial());
    }

    ProxyFixture origin(String dial) {
        hosts.add(host("s-0000aaaa", "origin", dial, "up"));
        return this;
    }

    ProxyFixture discovery(FakeServer server) {
        config.addProperty("discovery", server.dial());
        parts.add(server);
        return this;
    }

    /** Starts the proxy as the successor of the process that serves with this shared folder, if there is one. */
    ProxyFixture sharedFolder(Path folder) {
        sharedFolder = folder;
        return this;
    }

    /** The endpoint list that the proxy starts with. */
    JsonObject initialList() {
        return list(41, true, hosts);
    }

    ProxyFixture start() throws InterruptedException, IOException {
        config.add("known", initialList());
        proxy = sharedFolder != null
                ? Proxy.start(Config.parse(config), sharedFolder)
                : routing == null
                        ? Proxy.start(Config.parse(config))
                        : Proxy.start(Config.parse(config), known -> {
                            if (routing == null) {
                                throw new IllegalArgumentException("no routes");
                            }
                            return routing;
                        });
        return this;
    }

    /** Reloads the configuration from this text, as SIGHUP does; returns once it is applied or rejected. */
    void reload(String text) throws IOException {
        Path file = Files.createTempFile("config", ".json");
        Files.writeString(file, text);
        proxy.reload(file.toString());
        onEventLoop(() -> null); // runs after the tasks that the reload has submitted
        Files.delete(file);
    }

    /** Reloads the current value of {@link #config}. */
    void reload() throws IOException {
        reload(config.toString());
    }

    /** Runs a task on the proxy's event loop and returns its result. */
    <T> T onEventLoop(Callable<T> task) {
        return proxy.loop().submit(task).syncUninterruptibly().getNow();
    }

    /** Blocks the event loop until the latch is opened; input that arrives meanwhile stays in the kernel's buffers. */
    CountDownLatch pauseEventLoop() throws InterruptedException {
        CountDownLatch resume = new CountDownLatch(1);
        CountDownLatch paused = new CountDownLatch(1);
        proxy.loop().execute(() -> {
            paused.countDown();
            try {
                resume.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        paused.await();
        return resume;
    }

    Client client() throws IOException {
        return client(0);
    }

    /** A client whose kernel buffers at most this many unread bytes; 0 for the system's default. */
    Client client(int receiveBuffer) throws IOException {
        Client client = new Client(proxy.address(), receiveBuffer);
        parts.add(client);
        return client;
    }

    @Override
    public void close() throws Exception {
        if (proxy != null) {
            proxy.close();
        }
        for (AutoCloseable part : parts) {
            part.close();
        }
    }

    /** A client with a blocking socket. */
    static final class Client implements Closeable {
        final Socket socket;
        private final InputStream in;

        Client(InetSocketAddress to, int receiveBuffer) throws IOException {
            socket = new Socket();
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer); // must precede connect(), which negotiates the window
            }
            socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), to.getPort()));
            socket.setSoTimeout(25_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        Client send(String text) throws IOException {
            return send(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        Client send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return this;
        }

        Client read(String id) throws IOException {
            return send("mg 7f3a9c21e0b4d655 v O" + id + " Pc=text,d=20000\r\n");
        }

        /** Reads a line, without its terminator; null at the end of the stream. */
        String line() throws IOException {
            return FakeServer.line(in);
        }

        byte[] bytes(int n) throws IOException {
            return in.readNBytes(n);
        }

        /** Whether the next read reaches the end of the stream. */
        boolean isAtEnd() throws IOException {
            return in.read() < 0;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
