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
 * An emulated fleet, real proxy processes in front of it and a front layer before these. Closing it, which JVM shutdown
 * does too, ends the processes and deletes the temporary folder.
 */
public final class ProxiedFleet implements AutoCloseable {
    private static final long LOOK_MS = 250;
    /** Time for a resumed process to work off its backlog, including delivery of the signal. */
    private static final double SETTLE_MS = 500;
    /** How long an invalid configuration file stays in place. */
    private static final double MISFILE_MS = 300;
    /** Upper limit, in ms, on the request deadline that determines how soon SIGKILL follows SIGTERM. */
    private static final double LONGEST_DEADLINE_MS = 3000;

    private static final double KILL_SLACK_MS = 700;

    private final EmulatedFleet fleet;
    private final FrontLayer front;
    private final List<ProxyProcess> proxies = new ArrayList<>();
    /** The front layer has its own event loop, as it must not wait for the emulated nodes. */
    private final MultiThreadIoEventLoopGroup frontGroup = new MultiThreadIoEventLoopGroup(1, Sockets.BEST.io());

    private final ProxyWatch watch;
    private final int[] turns;
    /** Which proxies run with the alternative settings. */
    private final boolean[] retuned;

    private final int memoryMb;
    private final Path folder;
    private final ScheduledThreadPoolExecutor helper = executor("proxies");
    /** Separate from the helper, as status calls to a stopped process block. */
    private final ScheduledThreadPoolExecutor watcher = executor("watch");

    private final Thread hook = new Thread(this::end);
    private boolean closed;

    /**
     * Starts everything and waits until the proxies are ready.
     *
     * @param memoryMb memory limit in each proxy's configuration
     * @param edge a route file that all proxies read, and reload at SIGHUP; null for none
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

    /** The emulated fleet. */
    public EmulatedFleet fleet() {
        return fleet;
    }

    /** The address that clients connect to. */
    public InetSocketAddress front() {
        return front.address();
    }

    /** The index of the proxy that accepted the connection from this client port; negative if none did. */
    public int takenBy(int clientPort) {
        return front.takenBy(clientPort);
    }

    /** The current distribution of connections over the proxies. */
    public List<FrontLayer.Share> shares() {
        return frontGroup.next().submit(front::shares).syncUninterruptibly().getNow();
    }

    /** The status read from the proxies' control sockets. */
    public ProxyWatch watch() {
        return watch;
    }

    /** The proxy processes, by index. */
    public List<ProxyProcess> proxies() {
        return List.copyOf(proxies);
    }

    /** Schedules the faults, with times relative to now. */
    public void play(List<Fault> faults) {
        fleet.play(faults, this::apply);
    }

    /** Schedules faults of processes and of links, with times relative to now. */
    public void play(List<Fault> faults, List<LinkFault> links) throws IOException {
        if (faults.stream().anyMatch(f -> f.state() == Fault.State.OLDER)) {
            for (int p = 0; p < proxies.size(); p++) {
                StateFolder.copy(proxies.get(p).state(), folder.resolve("older-" + p));
            }
        }
        links.forEach(fleet::play);
        play(faults);
    }

    /** The first proxy whose process exited unexpectedly, with the end of its log; null if there is none. */
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
                        restartAfterExit(p, fault.forMs(), () -> {
                            applyStateFault(proxy, fault.state());
                            restart(proxy);
                        });
                        p.kill();
                    }
                    case RETIRE -> {
                        restartAfterExit(p, 0, () -> restart(proxy));
                        p.expectExit();
                        JsonObject request = ControlClient.request("drain");
                        request.addProperty("deadline_ms", fault.forMs());
                        ask(p, request);
                    }
                    case RECALL -> ask(p, ControlClient.request("drain-cancel"));
                    case UPGRADE -> new Thread(() -> upgrade(proxy), "upgrade").start(); // blocks until done
                    case RETUNE -> {
                        retuned[proxy] = !retuned[proxy];
                        write(proxy);
                        p.hangUp();
                    }
                    case MISFILE -> {
                        String whole = config(proxy).toString();
                        p.write(whole.substring(0, whole.length() / 2));
                        p.hangUp();
                        later(MISFILE_MS, () -> restoreConfig(proxy)); // otherwise the proxy could not be restarted
                    }
                    case STOP -> {
                        p.stop();
                        later(fault.forMs(), () -> resume(p));
                    }
                    case TERM -> {
                        restartAfterExit(p, 0, () -> restart(proxy));
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

    /** Restarts a proxy when its process has exited, unless an earlier fault of that process does so. */
    private void restartAfterExit(ProxyProcess p, double delayMs, Runnable restart) {
        if (!p.isExitExpected()) {
            p.onExit(() -> later(delayMs, restart));
        }
    }

    /** Delay from SIGTERM to SIGKILL, which loses requests that are still unanswered. */
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

    /** Applies a fault to the state folder of a proxy that is down. */
    private void applyStateFault(int proxy, Fault.State state) {
        try {
            Path other = proxies.get((proxy + 1) % proxies.size()).state();
            new StateFolder(
                            proxies.get(proxy).state(),
                            folder.resolve("older-" + proxy),
                            other,
                            fleet.spec().seed() * 31 + proxy)
                    .applyStateFault(state);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void resume(ProxyProcess p) {
        try {
            p.resume();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void restoreConfig(int proxy) {
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

    /** Addresses, files and process ids as JSON, for scripts. */
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
            // the JVM is shutting down and runs the hook itself
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
