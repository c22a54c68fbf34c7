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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** A proxy process that runs {@code serve} with its own configuration. */
public final class ProxyProcess {
    private static final long READY_MS = 30_000;
    private static final int LOG_LINES = 12;
    /** Time that a JVM may take to install its signal handlers, on a busy machine. */
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
    /** When it was stopped by SIGSTOP; 0 while it is not. */
    private volatile long stoppedNanos;

    /** The same, as Unix time in milliseconds. */
    private volatile long stoppedMs;

    /** The processes that are stopped: an upgrade may have put another in the place of one. */
    private final Set<Process> stopped = ConcurrentHashMap.newKeySet();

    private final List<Stop> stops = new CopyOnWriteArrayList<>();

    private volatile boolean ended;
    /** Whether the current process has been told to end or has been killed. */
    private volatile boolean exitExpected;
    /** Number of upgrades; the old and the new process need different control sockets. */
    private volatile int upgrades;
    /** Health check address of the latest process; null if it has none. */
    private InetSocketAddress healthAddress;

    /**
     * A time in which its process was stopped by SIGSTOP.
     *
     * @param fromMs its begin, as Unix time in milliseconds
     * @param untilMs its end, likewise
     */
    public record Stop(long fromMs, long untilMs) {}

    /**
     * Chooses a free address; starts no process yet. {@code edge}: its route file, or null; {@code parts}: the optional
     * features that it runs with.
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

    /** An address that is currently free. */
    private InetSocketAddress free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, host)) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    /** The instance name in its configuration. */
    public String name() {
        return name;
    }

    /** The address that clients connect to. */
    public InetSocketAddress listen() {
        return listen;
    }

    /** Its configuration file. */
    public Path config() {
        return config;
    }

    /** Its control socket. */
    public Path control() {
        return folder.resolve(upgrades == 0 ? "control" : "control-" + upgrades);
    }

    /** The id of the current process. */
    public long pid() {
        return process.pid();
    }

    /** Whether the current process is running. */
    public boolean alive() {
        return process != null && process.isAlive();
    }

    void write(JsonObject json) throws IOException {
        if (healthAddress != null) {
            json.addProperty("operator", ProxyConfig.text(healthAddress));
        }
        write(json.toString());
    }

    /** Writes this text as the configuration file, valid or not. */
    void write(String text) throws IOException {
        Path next = folder.resolve("config.next");
        Files.writeString(next, text);
        Files.move(next, config, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts a process with the configuration written last; does nothing after {@link #close}. */
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
                "-Dio.netty.allocator.maxOrder=6")); // same options as in deploy/
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
        launch(builder);
    }

    private void launch(ProcessBuilder builder) throws IOException {
        exitExpected = false;
        stoppedNanos = 0;
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

    /** Whether its process has exited unexpectedly. */
    boolean died() {
        return !ended && !exitExpected && process != null && !process.isAlive();
    }

    /** The state folder, if the proxy keeps state. */
    Path state() throws IOException {
        return Files.createDirectories(folder.resolve("state"));
    }

    /** The log file of all its processes. */
    public Path logFile() {
        return folder.resolve("log");
    }

    /** Whether the current process has been told to end or has been killed. */
    boolean isExitExpected() {
        return exitExpected;
    }

    /** Records that the process is about to exit by a command sent elsewhere, such as a drain. */
    void expectExit() {
        exitExpected = true;
    }

    /**
     * Starts a successor process and terminates the current one when the successor's health check reports that it
     * accepts clients; blocks until the old process has exited. Does nothing if no process is running.
     *
     * @param json the successor's configuration, without the health check address
     */
    synchronized void upgrade(JsonObject json) throws IOException {
        if (ended || !process.isAlive()) {
            return; // no predecessor to take over from; the fault that killed it restarts it
        }
        Process old = process;
        healthAddress = free();
        write(json);
        upgrades++;
        start();
        awaitAnswer(healthAddress, "HEALTH\r\n", "OK");
        old.destroy();
        try {
            if (!old.waitFor(READY_MS, TimeUnit.MILLISECONDS)) {
                old.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until it answers {@code mn}; otherwise throws an IOException with the end of its log. */
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
        exitExpected = true;
        process.destroyForcibly();
    }

    /** Sends SIGTERM; the returned task kills the same process if it is still running. */
    Runnable terminate() {
        exitExpected = true;
        Process ending = process;
        ending.destroy();
        return ending::destroyForcibly;
    }

    /**
     * Sends SIGHUP, but not before the JVM can have installed its handler, as the signal would end it: not at all to a
     * process that was stopped before.
     */
    void hangUp() throws IOException {
        if (stoppedNanos != 0 && stoppedNanos - startedNanos < HANDLER_NANOS) {
            return;
        }
        long wait = startedNanos + HANDLER_NANOS - System.nanoTime();
        if (wait > 0) {
            LockSupport.parkNanos(wait);
        }
        signal("HUP", process);
    }

    /** Stops the process by SIGSTOP until {@link #resume}. */
    void stop() throws IOException {
        if (stoppedNanos == 0) {
            stoppedNanos = System.nanoTime(); // not a second stop within the first
        }
        if (stopped.isEmpty()) {
            stoppedMs = System.currentTimeMillis();
        }
        Process current = process;
        stopped.add(current);
        signal("STOP", current);
    }

    /** Lets all its processes go on that were stopped. */
    void resume() throws IOException {
        long sinceNanos = stoppedNanos;
        if (sinceNanos != 0) {
            long started = startedNanos;
            startedNanos = started + System.nanoTime() - sinceNanos; // it could not start meanwhile
            stoppedNanos = 0;
        }
        if (!stopped.isEmpty()) {
            stops.add(new Stop(stoppedMs, System.currentTimeMillis()));
        }
        for (Process each : stopped) {
            signal("CONT", each);
        }
        stopped.clear();
    }

    /** The times in which it was stopped and went on; they do not overlap. */
    public List<Stop> stops() {
        return List.copyOf(stops);
    }

    private static void signal(String name, Process to) throws IOException {
        new ProcessBuilder("kill", "-" + name, Long.toString(to.pid())).start();
    }

    /** Runs the task when the current process has exited. */
    void onExit(Runnable then) {
        process.onExit().thenRun(then);
    }

    /** Kills the process; it can't be started again. */
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
