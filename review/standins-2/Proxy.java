import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One proxy process, started by the run line of the deploy file. */
final class Proxy implements AutoCloseable {
    static final String HOST = "127.0.0.1";

    final int port;
    private final Path root;
    private final Path folder;
    private Process process;
    private final Thread hook = new Thread(this::end);

    Proxy(Path root) throws IOException {
        this.root = root;
        folder = Files.createTempDirectory("proxy");
        Files.createDirectories(folder.resolve("tmp"));
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            port = socket.getLocalPort();
        }
    }

    String listen() {
        return HOST + ":" + port;
    }

    void start(String json) throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, json);
        String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run"))
                .findFirst()
                .orElseThrow()
                .replaceFirst("^run\\s*=\\s*\"", "")
                .replaceFirst("\"[^\"]*$", "");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("BALANCER_NAME", "p0");
        builder.environment().put("BALANCER_LISTEN", listen());
        builder.environment().put("TMPDIR", folder.resolve("tmp").toString());
        Runtime.getRuntime().addShutdownHook(hook);
        process = builder.start();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < until && process.isAlive()) {
            try (Socket socket = new Socket(HOST, port)) {
                socket.setSoTimeout(3000);
                socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.ISO_8859_1));
                if (new String(socket.getInputStream().readNBytes(2), StandardCharsets.ISO_8859_1).equals("MN")) {
                    Record.line("proxy ready, pid=%d", process.pid());
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(30);
            }
        }
        throw new IOException("the proxy does not get ready: " + log(20));
    }

    boolean alive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Sends SIGTERM: a planned restart begins. */
    void terminate() {
        Record.line("SIGTERM to the proxy");
        process.destroy();
    }

    /** The last lines of its log. */
    String log(int lines) {
        try {
            List<String> all = Files.readAllLines(folder.resolve("log"));
            return String.join("\n", all.subList(Math.max(0, all.size() - lines), all.size()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void end() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    @Override
    public void close() throws IOException {
        end();
        if (process != null) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            Runtime.getRuntime().removeShutdownHook(hook);
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
