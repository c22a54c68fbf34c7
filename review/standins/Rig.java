import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What all cases share: the record, the verdict, a temporary folder and the end of all that was started. */
final class Rig {
    /** Exit codes; run-case.sh turns them into those of the scripts, where 1 must not be a failure of the JVM. */
    private static final int HELD = 0;

    private static final int BROKEN = 10;
    private static final int COULD_NOT_RUN = 11;
    /** The protocol page: "each time limit is 50 ms longer". */
    static final long SOCKET_SLACK_MS = 50;
    /** The standing test: a final answer later than half a second after the request's time is lost. */
    static final long ANSWER_SLACK_MS = 500;

    private static final long START_NANOS = System.nanoTime();
    private static final int RUN_LIMIT_S = 115;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path folder;
    final Path temporary;
    private final BufferedWriter record;
    private final List<ProxyProcess> processes = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();

    /** What a case does. */
    interface Case {
        void run(Rig rig) throws Exception;
    }

    private Rig(Path folder) throws IOException {
        this.folder = folder;
        root = rootOf(folder);
        temporary = Files.createTempDirectory("review-");
        record = Files.newBufferedWriter(folder.resolve("record.txt"));
    }

    /** The folder above this one that holds the deploy file. */
    private static Path rootOf(Path folder) throws IOException {
        for (Path p = folder; p != null; p = p.getParent()) {
            if (Files.exists(p.resolve("deploy/balancer.toml"))) {
                return p;
            }
        }
        throw new IOException("no deploy/balancer.toml above " + folder);
    }

    /** Runs a case, writes its verdict and exits. */
    static void main(String[] args, Case body) throws IOException {
        Rig rig = new Rig(Path.of(args[0]).toRealPath());
        Thread limit = new Thread(() -> {
            sleep(RUN_LIMIT_S * 1000L);
            rig.note("the run took more than " + RUN_LIMIT_S + " s");
            rig.finish(COULD_NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        Runtime.getRuntime().addShutdownHook(new Thread(rig::clearUp));
        int code;
        try {
            rig.note("trouble=" + rig.trouble);
            body.run(rig);
            code = rig.broken.isEmpty() ? HELD : BROKEN;
        } catch (Throwable e) {
            StringWriter text = new StringWriter();
            e.printStackTrace(new PrintWriter(text));
            rig.note("could not run: " + text);
            code = COULD_NOT_RUN;
        }
        rig.finish(code);
    }

    private synchronized void finish(int code) {
        for (ProxyProcess process : processes) {
            process.kill();
            process.copyLog(this);
        }
        broken.forEach(b -> note("BROKEN " + b));
        String verdict = code == HELD ? "held" : code == BROKEN ? "broken" : "could not run";
        note("verdict: " + verdict + ", " + broken.size() + " breaks");
        System.out.println(folder.getFileName() + ": " + verdict + ", " + broken.size() + " breaks"
                + (broken.isEmpty() ? "" : "; first: " + broken.get(0)));
        try {
            record.close();
        } catch (IOException e) {
            code = COULD_NOT_RUN;
        }
        clearUp();
        Runtime.getRuntime().halt(code);
    }

    /** Ends all processes and removes the temporary folder. */
    private void clearUp() {
        processes.forEach(ProxyProcess::kill);
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            System.err.println("temporary folder left: " + temporary);
        }
    }

    void register(ProxyProcess process) {
        processes.add(process);
    }

    /** Milliseconds since the start of the run. */
    static double now() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    /** Writes a line of the record. */
    void note(String text) {
        synchronized (record) {
            try {
                record.write(String.format("%10.1f %s%n", now(), text));
                record.flush();
            } catch (IOException e) {
                // The run is ending.
            }
        }
    }

    /** Notes that the rule was broken. */
    void broken(String text) {
        synchronized (broken) {
            broken.add(text);
        }
        note("break: " + text);
    }

    static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
    }

    /** A port that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket socket = listen()) {
            return socket.getLocalPort();
        }
    }

    static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    /** Closes with a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
