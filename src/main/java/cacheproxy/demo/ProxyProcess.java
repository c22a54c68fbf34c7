package cacheproxy.demo;

import cacheproxy.emulator.Layout.Part;
import com.google.gson.JsonObject;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** One real proxy: a process that runs {@code serve} on a configuration of its own. */
public final class ProxyProcess {
    private static final long READY_MS = 30_000;
    private static final int LOG_LINES = 12;
    /** A JVM's own start, on a busy machine. */
    private static final long HANDLER_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final String name;
    private final InetAddress host;
    private final Path folder;
    private final Path config;
    private final InetSocketAddress listen;
    private final Path edge;
    private final Set<Part> parts;
    private volatile Process process;
    private volatile long startedNanos;
    private volatile boolean ended;
    /** Whether the process that runs has been told to end, or has been killed. */
    private volatile boolean toEnd;
    /** How often it has been upgraded: the old and the new process want control sockets of their own. */
    private volatile int upgrades;
    /** Where the process that was started last is asked for its health, or null where nobody asks. */
    private InetSocketAddress door;

    /**
     * Nothing is started yet; the address is free at the moment. {@code edge}: its file of routes, or null;
     * {@code parts}: what it runs with.
     */
    ProxyProcess(String name, InetAddress host, Path parent, Path edge, Set<Part> parts) throws IOException {
        this.name = name;
        this.host = host;
        this.edge = edge;
        this.parts = parts;
        folder = Files.createDirectories(parent.resolve(name));
        config = folder.resolve("config.json");
        listen = free();
    }

    /** An address that nobody listens at now. */
    private InetSocketAddress free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, host)) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    /** Its name in the configuration. */
    public String name() {
        return name;
    }

    /** Where clients connect. */
    public InetSocketAddress listen() {
        return listen;
    }

    /** The file of its configuration. */
    public Path config() {
        return config;
    }

    /** Its control socket. */
    public Path control() {
        return folder.resolve(upgrades == 0 ? "control" : "control-" + upgrades);
    }

    /** The process's id. */
    public long pid() {
        return process.pid();
    }

    /** Whether the process runs. */
    public boolean alive() {
        return process != null && process.isAlive();
    }

    void write(JsonObject json) throws IOException {
        if (door != null) {
            json.addProperty("operator", ProxyConfig.text(door));
        }
        write(json.toString());
    }

    /** Writes a file of this text, whatever it is worth. */
    void write(String text) throws IOException {
        Path next = folder.resolve("config.next");
        Files.writeString(next, text);
        Files.move(next, config, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts the process on the configuration that was written last; does nothing once this has been closed. */
    synchronized void start() throws IOException {
        if (ended) {
            return;
        }
        List<String> words = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xms24m",
                "-Xmx40m",
                "-XX:MaxDirectMemorySize=56m",
                "-Xss512k",
                "-Dio.netty.allocator.type=pooled",
                "-Dio.netty.allocator.numHeapArenas=1",
                "-Dio.netty.allocator.numDirectArenas=1",
                "-Dio.netty.allocator.maxOrder=6")); // as in deploy
        String path = System.getProperty("java.class.path");
        Path archive = Path.of(
                path.endsWith(".jar") && !path.contains(File.pathSeparator)
                        ? path.substring(0, path.length() - 4) + ".jsa"
                        : "none");
        if (Files.exists(archive)) {
            words.add("-XX:SharedArchiveFile=" + archive);
            words.add("-Xshare:auto");
        }
        words.addAll(List.of(
                "-cp", path, "cacheproxy.Main", "serve", "--control", control().toString()));
        words.addAll(options());
        if (edge != null) {
            words.addAll(List.of("--edge", edge.toAbsolutePath().toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(words)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        toEnd = false;
        startedNanos = System.nanoTime();
        process = builder.start();
    }

    private List<String> options() throws IOException {
        List<String> words = new ArrayList<>();
        for (Part p : Part.values()) {
            if (parts.contains(p)) {
                words.add("--" + p.name().toLowerCase(Locale.ROOT));
                words.add(p == Part.STATE ? state().toString() : "on");
            }
        }
        return words;
    }

    /** Whether its process has ended though nothing asked it to. */
    boolean died() {
        return !ended && !toEnd && process != null && !process.isAlive();
    }

    /** Where what is to outlast a process is kept, if it keeps anything. */
    Path state() throws IOException {
        return Files.createDirectories(folder.resolve("state"));
    }

    /** The file that its processes write to. */
    public Path logFile() {
        return folder.resolve("log");
    }

    /** The process is about to end, by something that it is told elsewhere. */
    void endsSoon() {
        toEnd = true;
    }

    /**
     * Starts a new process beside the one that serves and ends that one once the new one says at its door that it takes
     * clients; waits for all of it. Nothing happens if none serves.
     *
     * @param json the new process's configuration, but for the door
     */
    synchronized void upgrade(JsonObject json) throws IOException {
        if (ended || !process.isAlive()) {
            return; // there is nobody to take over from, and who killed it starts it again
        }
        Process old = process;
        door = free();
        write(json);
        upgrades++;
        start();
        awaitAnswer(door, "HEALTH\r\n", "OK");
        old.destroy();
        try {
            if (!old.waitFor(READY_MS, TimeUnit.MILLISECONDS)) {
                old.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until it answers {@code mn}; an IOException has the end of its log. */
    void awaitReady() throws IOException {
        awaitAnswer(listen, "mn\r\n", "MN");
    }

    private void awaitAnswer(InetSocketAddress at, String call, String answer) throws IOException {
        long until = System.nanoTime() + READY_MS * 1_000_000;
        while (System.nanoTime() < until && process.isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(at, 1000);
                socket.setSoTimeout(5000);
                socket.getOutputStream().write(call.getBytes(StandardCharsets.ISO_8859_1));
                byte[] read = socket.getInputStream().readNBytes(answer.length());
                if (new String(read, StandardCharsets.ISO_8859_1).equals(answer)) {
                    return;
                }
            } catch (IOException e) {
                pause();
            }
        }
        throw new IOException(name
                + (process.isAlive() ? " is not ready after " + READY_MS + " ms" : " ended with " + process.exitValue())
                + "; its log ends:\n" + log());
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** The last lines of its log. */
    String log() throws IOException {
        List<String> lines = Files.readAllLines(logFile());
        return String.join("\n", lines.subList(Math.max(0, lines.size() - LOG_LINES), lines.size()));
    }

    void kill() {
        toEnd = true;
        process.destroyForcibly();
    }

    /** Tells it to end; what comes back kills this process if it has not. */
    Runnable terminate() {
        toEnd = true;
        Process ending = process;
        ending.destroy();
        return ending::destroyForcibly;
    }

    /** Not before a JVM can have a handler for it, as it would end by the signal. */
    void hangUp() throws IOException {
        long wait = startedNanos + HANDLER_NANOS - System.nanoTime();
        if (wait > 0) {
            LockSupport.parkNanos(wait);
        }
        signal("HUP");
    }

    /** The process stands still until {@link #goOn}. */
    void stop() throws IOException {
        signal("STOP");
    }

    void goOn() throws IOException {
        signal("CONT");
    }

    private void signal(String name) throws IOException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    }

    /** What is to be done once the process has ended. */
    void onExit(Runnable then) {
        process.onExit().thenRun(then);
    }

    /** Ends the process for good. */
    synchronized void close() {
        ended = true;
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
