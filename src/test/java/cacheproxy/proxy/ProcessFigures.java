package cacheproxy.proxy;

import com.google.gson.JsonObject;
import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Measures start time, memory and processor time of the packaged program at several fleet sizes: starts the deploy
 * file's {@code run} line with that many servers and peers, against a discovery and a node of its own, and prints a
 * table row for each size. Run by hand, from the root, after the build, by {@code java -cp
 * target/test-classes:target/classes:target/lib/* cacheproxy.proxy.ProcessFigures SIZE...}.
 */
final class ProcessFigures {
    private static final int REQUESTS = 4000;
    private static final long READY_S = 30;

    private ProcessFigures() {}

    /** Each argument is a fleet size: the number of servers and of peers. */
    public static void main(String[] args) throws Exception {
        System.out.println("| servers and peers | until it takes clients | VmRSS then | VmRSS after " + REQUESTS
                + " reads | highest | heap in use | after a collection | processor time | connections to nodes "
                + "| served |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (String size : args) {
            measure(Integer.parseInt(size));
        }
        System.exit(0);
    }

    private static void measure(int size) throws Exception {
        FakeServer node = FakeServer.node(line -> "VA 5 O" + FakeServer.id(line) + "\r\nhello\r\n");
        CountDownLatch change = new CountDownLatch(1);
        FakeServer[] discovery = new FakeServer[1];
        String list = ProxyFixture.list(42, true, LargeList.hosts(size, i -> node.dial(), node.dial()))
                .toString();
        discovery[0] = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                if (request.contains("since=42&")) {
                    change.await(1500, TimeUnit.MILLISECONDS);
                    c.sendHttp(200, "", "{\"seq\":42,\"whole\":false,\"hosts\":[]}");
                } else {
                    c.sendHttp(200, "", list);
                }
            }
        });
        Path folder = Files.createTempDirectory("figures");
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        Path file = folder.resolve("config.json");
        Files.writeString(file, config(size, port, discovery[0], node).toString());
        Path log = folder.resolve("log");
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceAll("^run = \"|\"$", "");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run + System.getProperty("figures.more", ""));
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("BALANCER_NAME", "n0");
        builder.environment().put("BALANCER_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("BALANCER_DISCOVERY", discovery[0].dial());
        builder.environment().put("TMPDIR", folder.toString());
        long from = System.nanoTime();
        Process process = builder.start();
        try {
            awaitReady(process, port);
            double readyS = (System.nanoTime() - from) / 1e9;
            int rssThen = status(process, "VmRSS");
            int served = sendReads(port);
            int rss = status(process, "VmRSS");
            int highest = status(process, "VmHWM");
            String heap = heap(process, "GC.heap_info");
            double cpuS = process.info().totalCpuDuration().orElseThrow().toMillis() / 1e3;
            Files.writeString(folder.resolve("histogram"), jcmd(process, "GC.class_histogram"));
            String live = heap(process, "GC.heap_info");
            System.out.printf(
                    Locale.ROOT,
                    "| %,d | %.1f s | %.0f MB | %.0f MB | %.0f MB | %s | %s | %.1f s | %d | %d |%n",
                    size,
                    readyS,
                    rssThen / 1024.0,
                    rss / 1024.0,
                    highest / 1024.0,
                    heap,
                    live,
                    cpuS,
                    node.accepted.size(),
                    served);
            System.err.println("log and histogram in " + folder);
        } finally {
            process.destroy();
            process.waitFor();
            discovery[0].close();
            node.close();
        }
    }

    private static JsonObject config(int size, int port, FakeServer discovery, FakeServer node) {
        ProxyFixture fixture = new ProxyFixture();
        fixture.config.addProperty("listen", "127.0.0.1:" + port);
        fixture.config.addProperty("discovery", discovery.dial());
        JsonObject limits = new JsonObject();
        limits.addProperty("cores", 1.0);
        limits.addProperty("memory_mb", 192);
        limits.addProperty("sockets", 1024);
        fixture.config.add("limits", limits);
        LargeList.peers(fixture.config, size);
        fixture.config.add("known", ProxyFixture.list(41, true, LargeList.hosts(size, i -> node.dial(), node.dial())));
        return fixture.config;
    }

    private static void awaitReady(Process process, int port) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_S);
        while (System.nanoTime() < until && process.isAlive()) {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress("127.0.0.1", port), 1000);
                s.setSoTimeout(2000);
                s.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.ISO_8859_1));
                if ("MN".equals(FakeServer.line(s.getInputStream()))) {
                    return;
                }
            } catch (IOException e) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
        }
        throw new IllegalStateException("proxy did not accept clients within " + READY_S + " s");
    }

    /** Reads uniformly drawn keys, one at a time, in turn on 16 connections; returns how many were served. */
    private static int sendReads(int port) throws Exception {
        SplittableRandom random = new SplittableRandom(7);
        List<Socket> clients = new ArrayList<>();
        List<InputStream> in = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            clients.add(new Socket("127.0.0.1", port));
            clients.get(i).setTcpNoDelay(true);
            in.add(new BufferedInputStream(clients.get(i).getInputStream()));
        }
        int served = 0;
        for (int r = 0; r < REQUESTS; r++) {
            int c = r % clients.size();
            String command = "mg %016x v Of%d Pc=text,d=20000\r\n".formatted(random.nextLong(), r);
            clients.get(c).getOutputStream().write(command.getBytes(StandardCharsets.ISO_8859_1));
            String line = FakeServer.line(in.get(c));
            if (line != null && line.startsWith("VA ")) {
                FakeServer.line(in.get(c));
                served++;
            }
        }
        for (Socket s : clients) {
            s.close();
        }
        return served;
    }

    private static int status(Process process, String what) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(l -> l.startsWith(what + ":"))
                .mapToInt(l -> Integer.parseInt(l.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElse(0);
    }

    /** Heap in use and committed, summed over both generations. */
    private static String heap(Process process, String command) throws Exception {
        int used = 0;
        int total = 0;
        for (String line : jcmd(process, command).split("\n")) {
            if (line.contains("generation") && line.contains("total ")) {
                total += Integer.parseInt(line.replaceAll(".*total ([0-9]+)K.*", "$1"));
                used += Integer.parseInt(line.replaceAll(".*used ([0-9]+)K.*", "$1"));
            }
        }
        return String.format(Locale.ROOT, "%.1f of %.1f MB", used / 1024.0, total / 1024.0);
    }

    private static String jcmd(Process process, String command) throws Exception {
        String tool = System.getProperty("java.home") + File.separator + "bin" + File.separator + "jcmd";
        Process p = new ProcessBuilder(tool, Long.toString(process.pid()), command)
                .redirectErrorStream(true)
                .start();
        String text = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        p.waitFor();
        return text;
    }
}
