package cacheproxy.load;

import cacheproxy.emulator.Keys;
import cacheproxy.emulator.Sockets;
import cacheproxy.emulator.TrafficClass;
import cacheproxy.emulator.meta.MetaAnswer;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Open-loop load generator for the meta protocol: each request is sent at its scheduled time, whatever the outcome of
 * earlier ones. Runs on one event loop. A request uses an idle connection, else a new one up to the limit, else it is
 * pipelined behind others. Only its response or its own deadline ends a request.
 */
public final class Generator implements AutoCloseable {
    private static final int BATCH = 256;
    private static final long TICK_NANOS = 2_000_000;
    private static final long RETRY_NANOS = 50_000_000;
    private static final long READY_NANOS = 2_000_000_000L;
    private static final int CONNECT_MS = 2000;
    private static final int SLOW_BUFFER = 32 << 10;
    /** How often a request is resent whose connection closed before it had answered any request. */
    private static final int MAX_RESENT_UNUSED = 3;

    /**
     * The targets of the load and its limits.
     *
     * @param targets used round-robin by newly opened connections
     * @param classes indexed by {@link Planned#kind}; each has its deadline
     * @param connections maximum number of open connections
     * @param depth maximum number of requests pending on one connection; further ones wait
     * @param maxOutstanding maximum number of requests pending or waiting over all connections, which bounds memory.
     *     When it is reached, requests are sent late and the report says so
     * @param staySeconds mean lifetime of a connection, which is then closed between requests; 0 for no limit
     * @param warmUpSeconds time at the start in which requests are sent but not counted
     * @param maxLagMs schedule lag at p99.9 up to which the schedule counts as kept
     * @param seed seed of the request ids; generators that run in parallel need different ones
     * @param inTurn simulates one client per connection: all connections are opened, and the least recently used idle
     *     one is chosen
     * @param readBytes rate at which each connection reads responses, in bytes per second; 0 for no limit
     */
    public record Settings(
            List<InetSocketAddress> targets,
            List<TrafficClass> classes,
            int connections,
            int depth,
            int maxOutstanding,
            double staySeconds,
            double warmUpSeconds,
            double maxLagMs,
            long seed,
            boolean inTurn,
            int readBytes) {
        /** Settings without a read rate limit, with connections not used in turn. */
        public Settings(
                List<InetSocketAddress> targets,
                List<TrafficClass> classes,
                int connections,
                int depth,
                int maxOutstanding,
                double staySeconds,
                double warmUpSeconds,
                double maxLagMs,
                long seed) {
            this(
                    targets,
                    classes,
                    connections,
                    depth,
                    maxOutstanding,
                    staySeconds,
                    warmUpSeconds,
                    maxLagMs,
                    seed,
                    false,
                    0);
        }

        /** Checks the ranges. */
        public Settings {
            if (targets.isEmpty() || classes.isEmpty()) {
                throw new IllegalArgumentException("a generator needs a target and a class of requests");
            }
            if (connections < 1
                    || connections > 60_000
                    || depth < 1
                    || maxOutstanding < 1
                    || maxOutstanding > 5_000_000) {
                throw new IllegalArgumentException(connections + " connections and " + maxOutstanding
                        + " outstanding; it takes 1 to 60,000 and 1 to 5,000,000");
            }
            if (readBytes < 0) {
                throw new IllegalArgumentException("connections read " + readBytes + " bytes a second; 0 or more");
            }
            if (!(staySeconds >= 0) || !(warmUpSeconds >= 0) || !(maxLagMs > 0)) {
                throw new IllegalArgumentException(
                        "connections stay and a warm-up lasts 0 s or longer, and a lag to keep is above 0 ms");
            }
        }
    }

    /** A request taken from the schedule that has not ended, or whose late response may still arrive. */
    static final class Pending {
        final String id;
        final Planned planned;
        final long meantNanos;
        final long deadlineNanos;
        final boolean counted;
        boolean ended;
        int resent;
        /** The deadline has passed while the response was being received. */
        boolean begun;
        /** The connection on which it was last sent. */
        Connection on;

        long connectionEndedNanos;

        Pending(String id, Planned planned, long meantNanos, long deadlineNanos, boolean counted) {
            this.id = id;
            this.planned = planned;
            this.meantNanos = meantNanos;
            this.deadlineNanos = deadlineNanos;
            this.counted = counted;
        }
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Sockets.BEST.io());
    private final EventLoop loop = group.next();
    private final Settings settings;
    private final Workload workload;
    private final Observer observer;
    private final Recorder recorder = new Recorder();
    private final CompletableFuture<Report> done = new CompletableFuture<>();
    private final Bootstrap bootstrap;
    private final SplittableRandom random;
    private final List<Connection> connections = new ArrayList<>();
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    /** Requests that wait for a usable connection. */
    private final ArrayDeque<Pending> waiting = new ArrayDeque<>();
    /** The requests of each class that have not ended, in the order of their deadlines. */
    private final List<Set<Pending>> open = new ArrayList<>();

    private final Pauses pauses = new Pauses();
    private Planned next;
    private long startNanos;
    private long warmNanos;
    private long lastMeantNanos;
    private long lastSentNanos;
    private long planned;
    private long number;
    private int outstanding;
    /** Number of requests whose deadline has passed while their response is being received. */
    private int begun;

    private int targetTurn;
    /** Maximum number of open connections: the configured one, or what the file descriptor limit allows. */
    private int maxConnections;

    private long retryNanos;
    private long secondNanos;
    private boolean over;

    /** Creates a generator that sends nothing before {@link #start}. */
    public Generator(Settings settings, Workload workload, Observer observer) {
        this.settings = settings;
        this.workload = workload;
        this.observer = observer;
        random = new SplittableRandom(settings.seed());
        maxConnections = settings.connections();
        settings.classes().forEach(c -> open.add(new LinkedHashSet<>()));
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(Sockets.BEST.client())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS);
        if (settings.readBytes() > 0) {
            bootstrap.option(ChannelOption.SO_RCVBUF, SLOW_BUFFER); // a large kernel buffer would hide the slow reader
        }
    }

    /** Opens up to 8 connections, then starts the schedule; the future completes with the report of the whole run. */
    public CompletableFuture<Report> start() {
        loop.execute(() -> {
            limitConnections(Descriptors.available());
            for (int i = 0; i < Math.min(maxConnections, 8); i++) {
                connect();
            }
            awaitReady(System.nanoTime() + READY_NANOS);
        });
        return done;
    }

    private void awaitReady(long until) {
        if (connections.stream().allMatch(Connection::connected) || System.nanoTime() > until) {
            startNanos = System.nanoTime();
            warmNanos = startNanos + (long) (settings.warmUpSeconds() * 1e9);
            lastSentNanos = warmNanos;
            lastMeantNanos = warmNanos;
            secondNanos = warmNanos + 1_000_000_000L;
            next = workload.next();
            pump();
            tick();
        } else {
            loop.schedule(() -> awaitReady(until), 1, TimeUnit.MILLISECONDS);
        }
    }

    /** The run's progress; may be called from any thread. */
    public Progress progress() {
        return loop.submit(() -> new Progress(
                        (System.nanoTime() - startNanos) / 1e9,
                        outstanding,
                        connections.size(),
                        recorder.lastRow(),
                        recorder.lag.getValueAtPercentile(99.9) / 1e3))
                .syncUninterruptibly()
                .getNow();
    }

    /**
     * The progress of a run.
     *
     * @param seconds since the start
     * @param outstanding requests pending or waiting
     * @param row the latest row of the time series; null before the first
     * @param lagMs schedule lag at p99.9 so far
     */
    public record Progress(double seconds, int outstanding, int connections, Recorder.Row row, double lagMs) {
        /** One line of text for the console. */
        public String text() {
            return row == null
                    ? String.format("%6.1f s  starting, %d connections", seconds, connections)
                    : String.format(
                            "%6.1f s  sent %6d/s  served %6d  refused %5d  failed %5d  unanswered %5d  "
                                    + "p50 %8.2f ms  p99 %8.2f ms  max %8.2f ms  out %5d",
                            seconds,
                            row.sent(),
                            row.served(),
                            row.refused(),
                            row.failed(),
                            row.unanswered(),
                            row.p50(),
                            row.p99(),
                            row.max(),
                            outstanding);
        }
    }

    @Override
    public void close() {
        pauses.close();
        workload.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    // ---- schedule

    private void pump() {
        for (int i = 0; next != null; i++) {
            long now = System.nanoTime();
            long meant = startNanos + next.atNanos();
            if (meant > now) {
                loop.schedule(this::pump, meant - now, TimeUnit.NANOSECONDS);
                return;
            }
            if (outstanding >= settings.maxOutstanding()) {
                recorder.outOfRoom++;
                loop.schedule(this::pump, TICK_NANOS, TimeUnit.NANOSECONDS);
                return;
            }
            if (i >= BATCH) {
                loop.execute(this::pump); // lets the event loop read responses in between
                return;
            }
            send(next, meant);
            next = workload.next();
        }
    }

    private void send(Planned p, long meant) {
        long now = System.nanoTime();
        String id = Keys.hex(Keys.mix(settings.seed() * 0x9e3779b97f4a7c15L + ++number));
        long deadline = meant + (long) (settings.classes().get(p.kind()).deadlineMs() * 1e6);
        boolean counted = meant >= warmNanos;
        Pending pending = new Pending(id, p, meant, deadline, counted);
        if (counted) {
            planned++;
            lastMeantNanos = meant;
            lastSentNanos = now;
            recorder.sent(now - meant);
        }
        outstanding++;
        open.get(p.kind()).add(pending);
        dispatch(pending);
    }

    private void dispatch(Pending pending) {
        Connection c = pick();
        if (c == null) {
            waiting.add(pending);
        } else {
            c.send(pending, settings.classes().get(pending.planned.kind()));
        }
    }

    private Connection pick() {
        if (settings.inTurn() && connections.size() < maxConnections && System.nanoTime() >= retryNanos) {
            connect(); // one connection per simulated client
        }
        for (Connection c; (c = settings.inTurn() ? idle.pollFirst() : idle.pollLast()) != null; ) {
            if (c.usable()) {
                return c;
            }
        }
        if (connections.size() < maxConnections && System.nanoTime() >= retryNanos) {
            connect();
            Connection c = idle.pollLast();
            if (c != null) {
                return c;
            }
        }
        Connection best = null;
        for (int i = 0; i < 4 && !connections.isEmpty(); i++) {
            Connection c = connections.get(random.nextInt(connections.size()));
            if (c.usable() && (best == null || c.depth() < best.depth())) {
                best = c;
            }
        }
        for (Iterator<Connection> i = connections.iterator(); best == null && i.hasNext(); ) {
            Connection c = i.next();
            best = c.usable() ? c : null;
        }
        return best;
    }

    private void connect() {
        InetSocketAddress to =
                settings.targets().get(targetTurn++ % settings.targets().size());
        // Lifetimes are drawn from 0.5 to 1.5 times the mean, so that connections do not all close at once.
        long until = settings.staySeconds() == 0
                ? Long.MAX_VALUE
                : System.nanoTime() + (long) (settings.staySeconds() * (0.5 + random.nextDouble()) * 1e9);
        Connection c = new Connection(this, until);
        connections.add(c);
        idle.add(c);
        recorder.opened++;
        c.open(bootstrap, to);
    }

    // ---- connection events

    void written(Pending p) {
        observer.asked(p.id, p.planned, System.nanoTime(), p.deadlineNanos);
    }

    int depth() {
        return settings.depth();
    }

    int readBytes() {
        return settings.readBytes();
    }

    void freed(Connection c) {
        if (c.expired()) {
            c.close();
        } else {
            idle.add(c);
        }
    }

    void connectFailed(Connection c, Throwable cause) {
        recorder.connectErrors++;
        if (Descriptors.exhausted(cause)) {
            limitConnections(connections.size() - 1); // descriptors counted as free at the start are in use by others
        }
        retryNanos = System.nanoTime() + RETRY_NANOS;
        ended(c, false);
    }

    private void limitConnections(int connections) {
        maxConnections = Math.max(1, Math.min(maxConnections, connections));
        recorder.connectionsShort = (long) settings.connections() - maxConnections;
    }

    EventLoop loop() {
        return loop;
    }

    /**
     * Handles a closed connection. After a clean close its unanswered requests are resent, as the protocol requires:
     * once, or up to {@link #MAX_RESENT_UNUSED} times if the connection had answered none.
     */
    void ended(Connection c, boolean cleanly) {
        connections.remove(c);
        idle.remove(c);
        long now = System.nanoTime();
        boolean lost = false;
        for (Pending p; (p = c.poll()) != null; ) {
            if (p.ended) {
                outstanding--;
            } else if (p.begun) {
                p.connectionEndedNanos = now;
                lost = true;
                expire(p);
            } else if (!c.connected()) {
                waiting.add(p);
            } else if (cleanly && p.resent < (c.answered() == 0 ? MAX_RESENT_UNUSED : 1)) {
                p.resent++;
                recorder.resent++;
                waiting.add(p);
            } else {
                p.connectionEndedNanos = now;
                lost = true;
            }
        }
        recorder.resets += lost ? 1 : 0;
        loop.execute(this::redispatch);
    }

    private void redispatch() {
        for (Pending p; (p = waiting.peek()) != null; ) {
            Connection c = p.ended ? null : pick();
            if (p.ended) {
                outstanding--;
            } else if (c == null) {
                return;
            } else {
                c.send(p, settings.classes().get(p.planned.kind()));
            }
            waiting.poll();
        }
    }

    void answered(Pending p, MetaAnswer answer, int port) {
        outstanding--;
        long now = System.nanoTime();
        if (p.ended) {
            observer.late(p.id, answer, port, now);
            return;
        }
        end(p, now);
        observer.answered(p.id, answer, port, now);
        if (!p.counted) {
            return;
        }
        if (p.planned.write() ? answer instanceof MetaAnswer.Receipt : answer instanceof MetaAnswer.Value) {
            recorder.served++;
        } else if (answer instanceof MetaAnswer.Busy) {
            recorder.refused++;
        } else {
            recorder.failed++;
        }
    }

    void unsolicited(MetaAnswer answer) {
        recorder.outOfTurn++;
        observer.unsolicited(answer, System.nanoTime());
    }

    private void end(Pending p, long now) {
        p.ended = true;
        begun -= p.begun ? 1 : 0;
        open.get(p.planned.kind()).remove(p);
        if (p.counted) {
            recorder.ended(now - p.meantNanos);
        }
    }

    // ---- timers

    private void tick() {
        if (over) {
            return;
        }
        long now = System.nanoTime();
        for (Set<Pending> requests : open) {
            while (!requests.isEmpty()) {
                Pending first = requests.iterator().next();
                if (first.deadlineNanos > now) {
                    break;
                }
                expire(first);
            }
        }
        if (!waiting.isEmpty()) {
            redispatch();
        }
        if (now >= secondNanos) {
            secondNanos += 1_000_000_000L;
            recorder.second((now - warmNanos) / 1e9);
        }
        connections.stream()
                .filter(c -> c.abandoned() || (c.depth() == 0 && c.expired()))
                .toList()
                .forEach(Connection::close);
        if (next == null && begun == 0 && open.stream().allMatch(Set::isEmpty)) {
            finish(now);
            return;
        }
        loop.schedule(this::tick, TICK_NANOS, TimeUnit.NANOSECONDS);
    }

    private void expire(Pending p) {
        if (p.on != null && p.on.isReceiving(p)) {
            p.begun = true;
            begun++;
            open.get(p.planned.kind()).remove(p);
            return;
        }
        end(p, p.deadlineNanos);
        if (p.connectionEndedNanos != 0) {
            outstanding--; // its connection is closed, so no late response can release it
        }
        if (p.counted) {
            recorder.unanswered++;
        }
        observer.unanswered(p.id, p.on == null ? 0 : p.on.port(), p.connectionEndedNanos, p.deadlineNanos);
    }

    private void finish(long now) {
        over = true;
        recorder.end((now - warmNanos) / 1e9);
        double asked = Math.max(1e-3, (lastMeantNanos - warmNanos) / 1e9);
        double took = Math.max(1e-3, (lastSentNanos - warmNanos) / 1e9);
        boolean kept = recorder.lag.getValueAtPercentile(99.9) / 1e3 <= settings.maxLagMs()
                && took <= asked * 1.01 + settings.maxLagMs() / 1e3;
        List.copyOf(connections).forEach(Connection::close);
        done.complete(Report.of(
                recorder,
                planned / asked,
                recorder.sent / took,
                kept,
                took,
                pauses.histogram(),
                workload.unreadable()));
    }
}
