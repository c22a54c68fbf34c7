import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One proxy as it is deployed: the run command of deploy/balancer.toml with the environment of the deployment page. */
final class ProxyProcess {
    final int port;
    private final Rig rig;
    private final String name;
    private final Path log;
    private final Process process;
    private boolean expectedToEnd;

    ProxyProcess(Rig rig, String name, int port, String config) throws IOException {
        this(rig, name, port, config, name);
    }

    /** {@code scratchOf}: the name whose TMPDIR it gets; that of the process which it takes over from. */
    ProxyProcess(Rig rig, String name, int port, String config, String scratchOf) throws IOException {
        this.rig = rig;
        this.name = name;
        this.port = port;
        Path home = Files.createDirectories(rig.temporary.resolve(name));
        Path file = home.resolve("config.json");
        Files.writeString(file, config);
        Path scratch = Files.createDirectories(rig.temporary.resolve(scratchOf).resolve("tmp"));
        log = home.resolve("log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(rig.root));
        builder.directory(rig.root.toFile()).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("BALANCER_NAME", name);
        builder.environment().put("BALANCER_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("BALANCER_DISCOVERY", config.split("\"discovery\":\"")[1].split("\"")[0]);
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("TMPDIR", scratch.toString());
        process = builder.start();
        rig.register(this);
        rig.note(name + " started, pid " + process.pid());
    }

    private static String runCommand(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no run line");
    }

    /** Waits until it has answered mn with MN. */
    void awaitReady() throws IOException {
        double until = Rig.now() + 30_000;
        while (Rig.now() < until && process.isAlive()) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(Rig.bytes("mn\r\n"));
                if ("MN".equals(new Lines(socket.getInputStream()).line())) {
                    rig.note(name + " is ready");
                    return;
                }
            } catch (IOException e) {
                // not yet
            }
            Rig.sleep(50);
        }
        throw new IOException(name + " did not get ready");
    }

    /** Waits until the operators' address says yes. */
    void awaitHealthy(int operatorPort) throws IOException {
        double until = Rig.now() + 30_000;
        while (Rig.now() < until && process.isAlive()) {
            try (Socket socket = new Socket("127.0.0.1", operatorPort)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(Rig.bytes("HEALTH\r\n"));
                String line = new Lines(socket.getInputStream()).line();
                if (line != null && line.startsWith("OK")) {
                    rig.note(name + " says yes: " + line);
                    return;
                }
            } catch (IOException e) {
                // not yet
            }
            Rig.sleep(20);
        }
        throw new IOException(name + " did not say yes");
    }

    void signal(String signal) throws Exception {
        rig.note(name + " gets " + signal);
        expectedToEnd |= signal.equals("TERM") || signal.equals("KILL");
        new ProcessBuilder("/bin/kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    boolean awaitEnd(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    void kill() {
        if (!process.isAlive() && !expectedToEnd) {
            rig.note(name + " had ended by itself with " + process.exitValue());
        }
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void copyLog(Rig rig) {
        try {
            List<String> lines = Files.readAllLines(log);
            lines.stream().limit(60).forEach(line -> rig.note(name + " log: " + line));
        } catch (IOException e) {
            rig.note(name + " has no log");
        }
    }
}
