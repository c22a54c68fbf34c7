package cacheproxy.demo;

import cacheproxy.control.ControlClient;
import cacheproxy.emulator.EmulatedFleet;
import cacheproxy.emulator.Fault;
import cacheproxy.emulator.FleetSpec;
import cacheproxy.emulator.FrontLayer;
import cacheproxy.emulator.LinkFault;
import cacheproxy.emulator.Sockets;
import cacheproxy.emulator.TrafficClass;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Stand-ins, real proxies in front of them and a front layer before these, from start to end. Leaves nothing behind:
 * processes and the temporary folder go when it is closed, which the virtual machine's end does too.
 */
public final class ProxiedFleet implements AutoCloseable {
    private static final long LOOK_MS = 250;
    /** What a process that stood still needs for what has piled up, beyond its signal's way. */
    private static final double SETTLE_MS = 500;
    /** How long a file of no use lies there. */
    private static final double MISFILE_MS = 300;
    /** A deadline counts as this at most where it bounds how soon SIGKILL follows SIGTERM, in milliseconds. */
    private static final double LONGEST_DEADLINE_MS = 3000;

    private static final double KILL_SLACK_MS = 700;

    private final EmulatedFleet fleet;
    private final FrontLayer front;
    private final List<ProxyProcess> proxies = new ArrayList<>();
    /** The front is a machine of its own, and must not wait for the nodes. */
    private final MultiThreadIoEventLoopGroup frontGroup = new MultiThreadIoEventLoopGroup(1, Sockets.BEST.io());

    private final ProxyWatch watch;
    private final int[] turns;
    /** Which proxies have been given other settings. */
    private final boolean[] retuned;

    private final int memoryMb;
    private final Path folder;
    private final ScheduledThreadPoolExecutor helper = executor("proxies");
    /** Apart from the helper: a process that stands still does not answer. */
    private final ScheduledThreadPoolExecutor watcher = executor("watch");

    private final Thread hook = new Thread(this::end);
    private boolean closed;

    /**
     * Starts everything and waits until the proxies are ready.
     *
     * @param memoryMb what each proxy is told it has
     * @param edge a file of routes that all proxies read, and read again at {@code hup}; null: none
     */
    public ProxiedFleet(FleetSpec spec, int memoryMb, Path edge) throws IOException {
        this.memoryMb = memoryMb;
        turns = new int[spec.proxies()];
        retuned = new boolean[spec.proxies()];
        folder = Files.createTempDirectory("cacheproxy");
        Runtime.getRuntime().addShutdownHook(hook);
        fleet = new EmulatedFleet(spec);
        try {
            for (int i = 0; i < spec.proxies(); i++) {
                proxies.add(new ProxyProcess(
                        "proxy-" + i, fleet.host(i), folder, edge, spec.layout().parts()));
                write(i);
                proxies.get(i).start();
            }
            for (ProxyProcess p : proxies) {
                p.awaitReady();
            }
        } catch (IOException e) {
            close();
            throw e;
        }
        watch = new ProxyWatch(proxies);
        watcher.scheduleWithFixedDelay(watch::look, 0, LOOK_MS, TimeUnit.MILLISECONDS);
        front = new FrontLayer(
                frontGroup.next(), proxies.stream().map(ProxyProcess::listen).toList(), spec.noticeMs());
    }

    private static ScheduledThreadPoolExecutor executor(String name) {
        return new ScheduledThreadPoolExecutor(1, r -> {
            Thread thread = new Thread(r, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    private void write(int proxy) throws IOException {
        ProxyProcess p = proxies.get(proxy);
        p.write(config(proxy));
    }

    private synchronized JsonObject config(int proxy) {
        return ProxyConfig.of(fleet, proxy, proxies.get(proxy).listen(), turns[proxy]++, memoryMb, retuned[proxy]);
    }

    /** The stand-ins. */
    public EmulatedFleet fleet() {
        return fleet;
    }

    /** Where clients connect. */
    public InetSocketAddress front() {
        return front.address();
    }

    /** The number of the proxy that took the connection from that port of a client's, negative if none did. */
    public int takenBy(int clientPort) {
        return front.takenBy(clientPort);
    }

    /** How connections are spread now. */
    public List<FrontLayer.Share> shares() {
        return frontGroup.next().submit(front::shares).syncUninterruptibly().getNow();
    }

    /** What the proxies' control sockets have told. */
    public ProxyWatch watch() {
        return watch;
    }

    /** The proxies. */
    public List<ProxyProcess> proxies() {
        return List.copyOf(proxies);
    }

    /** Lets these faults happen, their times counted from now. */
    public void play(List<Fault> faults) {
        fleet.play(faults, this::apply);
    }

    /** The same with what goes wrong between parts of the fleet. */
    public void play(List<Fault> faults, List<LinkFault> links) throws IOException {
        if (faults.stream().anyMatch(f -> f.state() == Fault.State.OLDER)) {
            for (int p = 0; p < proxies.size(); p++) {
                StateFolder.copy(proxies.get(p).state(), folder.resolve("older-" + p));
            }
        }
        links.forEach(fleet::play);
        play(faults);
    }

    /**
     * The first proxy whose process ended though nothing asked it to, with the end of its log; null if there is none.
     */
    public String died() throws IOException {
        for (ProxyProcess p : proxies) {
            if (p.died()) {
                return p.name() + " ended by itself; its log ends:\n" + p.log();
            }
        }
        return null;
    }

    /** Copies the proxies' logs to a folder. */
    public void keepLogs(Path to) throws IOException {
        Files.createDirectories(to);
        for (ProxyProcess p : proxies) {
            Files.copy(p.logFile(), to.resolve(p.name() + ".log"), StandardCopyOption.REPLACE_EXISTING);
        }
    }

    private void apply(int proxy, Fault fault) {
        ProxyProcess p = proxies.get(proxy);
        double now = fleet.now();
        if (fault.action() == Fault.Action.KILL) {
            fleet.tell(o -> o.killed(proxy, now - 1));
            frontGroup.next().submit(() -> front.killed(proxy)).syncUninterruptibly();
        }
        if (fault.action() == Fault.Action.STOP) {
            fleet.tell(o -> o.stopped(proxy, now, now + fault.forMs() + SETTLE_MS));
        }
        helper.execute(() -> {
            try {
                switch (fault.action()) {
                    case KILL -> {
                        p.onExit(() -> later(fault.forMs(), () -> {
                            treat(proxy, fault.state());
                            restart(proxy);
                        }));
                        p.kill();
                    }
                    case RETIRE -> {
                        p.endsSoon();
                        p.onExit(() -> later(0, () -> restart(proxy)));
                        JsonObject request = ControlClient.request("drain");
                        request.addProperty("deadline_ms", fault.forMs());
                        ask(p, request);
                    }
                    case RECALL -> ask(p, ControlClient.request("drain-cancel"));
                    case UPGRADE -> new Thread(() -> upgrade(proxy), "upgrade").start(); // it waits
                    case RETUNE -> {
                        retuned[proxy] = !retuned[proxy];
                        write(proxy);
                        p.hangUp();
                    }
                    case MISFILE -> {
                        String whole = config(proxy).toString();
                        p.write(whole.substring(0, whole.length() / 2));
                        p.hangUp();
                        later(MISFILE_MS, () -> mend(proxy)); // or the proxy could not be started again
                    }
                    case STOP -> {
                        p.stop();
                        later(fault.forMs(), () -> goOn(p));
                    }
                    case TERM -> {
                        p.onExit(() -> later(0, () -> restart(proxy)));
                        later(killAfterMs(), p.terminate());
                    }
                    default -> {
                        write(proxy);
                        p.hangUp();
                    }
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    /** SIGKILL may come so long after SIGTERM, and what it finds unanswered is lost. */
    private double killAfterMs() {
        double longest = fleet.spec().classes().stream()
                .mapToDouble(TrafficClass::deadlineMs)
                .max()
                .orElse(LONGEST_DEADLINE_MS);
        return Math.min(longest, LONGEST_DEADLINE_MS) + KILL_SLACK_MS;
    }

    private static void ask(ProxyProcess p, JsonObject request) throws IOException {
        try (ControlClient client = new ControlClient(p.control())) {
            client.call(request);
        } catch (ControlClient.RefusedException e) {
            System.err.println(p.name() + ": " + e.getMessage());
        }
    }

    private void later(double ms, Runnable task) {
        ScheduledExecutorService on = helper;
        if (!on.isShutdown()) {
            on.schedule(task, (long) ms, TimeUnit.MILLISECONDS);
        }
    }

    private void upgrade(int proxy) {
        try {
            proxies.get(proxy).upgrade(config(proxy));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Does to the folder of state of a proxy that is away what a fault says. */
    private void treat(int proxy, Fault.State state) {
        try {
            Path other = proxies.get((proxy + 1) % proxies.size()).state();
            new StateFolder(
                            proxies.get(proxy).state(),
                            folder.resolve("older-" + proxy),
                            other,
                            fleet.spec().seed() * 31 + proxy)
                    .treat(state);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void goOn(ProxyProcess p) {
        try {
            p.goOn();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void mend(int proxy) {
        try {
            write(proxy);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void restart(int proxy) {
        try {
            fleet.tell(o -> o.restarted(proxy, fleet.now()));
            write(proxy);
            proxies.get(proxy).start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Addresses, files and process ids for scripts. */
    public JsonObject json() {
        JsonObject o = new JsonObject();
        o.addProperty("front", ProxyConfig.text(front()));
        JsonArray array = new JsonArray();
        for (ProxyProcess p : proxies) {
            JsonObject entry = new JsonObject();
            entry.addProperty("name", p.name());
            entry.addProperty("listen", ProxyConfig.text(p.listen()));
            entry.addProperty("config", p.config().toString());
            entry.addProperty("control", p.control().toString());
            entry.addProperty("pid", p.pid());
            array.add(entry);
        }
        o.add("proxies", array);
        JsonArray nodes = new JsonArray();
        fleet.nodes(0).forEach((name, address) -> {
            JsonObject entry = new JsonObject();
            entry.addProperty("name", name);
            entry.addProperty("listen", ProxyConfig.text(address));
            nodes.add(entry);
        });
        o.add("nodes", nodes);
        o.addProperty("origin", ProxyConfig.text(fleet.originAddress()));
        o.addProperty("discovery", ProxyConfig.text(fleet.discovery(0, 0)));
        return o;
    }

    @Override
    public void close() {
        end();
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // the virtual machine ends, and has run it or will
        }
    }

    private synchronized void end() {
        if (closed) {
            return;
        }
        closed = true;
        helper.shutdownNow();
        watcher.shutdownNow();
        proxies.forEach(ProxyProcess::close);
        frontGroup.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        fleet.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            System.err.println("left behind: " + folder + " (" + e.getMessage() + ")");
        }
    }
}
