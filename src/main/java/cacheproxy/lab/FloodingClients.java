package cacheproxy.lab;

import cacheproxy.demo.ProxyProcess;
import cacheproxy.emulator.Fault;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Clients that send at full speed on a few connections, or on many, to one proxy after another; half of the floods
 * begin within some milliseconds of a fault of their proxy. They send on open connections until these end. The floods
 * of a seed are always the same, but for the milliseconds.
 */
final class FloodingClients implements AutoCloseable {
    private static final String PROXY_PREFIX = "proxy-";
    private static final int EVERY_MS = 2500;
    private static final int LEAST_MS = 500;
    private static final int MOST_MS = 3000;
    private static final int MOST_CONNECTIONS = 6;
    /** One in so many floods is a crowd. */
    private static final int CROWD_ODDS = 4;

    private static final int CROWD = 100;
    /** How far from a fault a flood begins at most. */
    private static final int NEAR_FAULT_MS = 5;

    /** Kinds whose own requests are never late: the others' are judged. */
    private static final List<Flood.Kind> KINDS = List.of(
            Flood.Kind.EMPTY_LINES,
            Flood.Kind.UNKNOWN_COMMANDS,
            Flood.Kind.PINGS,
            Flood.Kind.READS_WITHOUT_ID,
            Flood.Kind.READS_OF_NEW_CLASSES,
            Flood.Kind.MANY_SHORT_FLAGS,
            Flood.Kind.WRITES_WITHOUT_ID);

    private record PlannedFlood(
            double atMs, double forMs, int proxy, Flood.Kind kind, int connections, Flood.Answers answers) {}

    private static final double FAULT_MARGIN_MS = 1500;
    private static final double NANOS_PER_MILLI = 1e6;

    private final String className;
    private final List<Fault> faults;
    private final List<String> lateAnswers = new CopyOnWriteArrayList<>();
    private final List<PlannedFlood> floods;
    private final Thread thread = new Thread(this::play, "flooding-clients");
    private List<ProxyProcess> proxies;
    private long beganNanos;
    private int begun;

    /** Draws the floods of a run of this length against this many proxies. */
    FloodingClients(long seed, String className, List<Fault> faults, int proxies, double runMs) {
        this.className = className;
        this.faults = faults;
        floods = draw(new Random(seed * 41), faults, proxies, runMs);
        thread.setDaemon(true);
    }

    private static List<PlannedFlood> draw(Random random, List<Fault> faults, int proxies, double runMs) {
        List<Fault> ofProxies = faults.stream()
                .filter(fault -> fault.target().startsWith(PROXY_PREFIX))
                .toList();
        List<PlannedFlood> drawn = new ArrayList<>();
        for (int i = 0; i < runMs / EVERY_MS; i++) {
            double atMs = random.nextDouble() * runMs;
            int proxy = random.nextInt(proxies);
            if (!ofProxies.isEmpty() && random.nextBoolean()) {
                Fault fault = ofProxies.get(random.nextInt(ofProxies.size()));
                atMs = Math.max(0, fault.atMs() + random.nextInt(2 * NEAR_FAULT_MS) - NEAR_FAULT_MS);
                proxy = Integer.parseInt(fault.target().substring(PROXY_PREFIX.length()));
            }
            drawn.add(new PlannedFlood(
                    atMs,
                    LEAST_MS + random.nextInt(MOST_MS - LEAST_MS),
                    proxy,
                    KINDS.get(random.nextInt(KINDS.size())),
                    random.nextInt(CROWD_ODDS) == 0 ? CROWD : 1 + random.nextInt(MOST_CONNECTIONS),
                    random.nextBoolean() ? Flood.Answers.READ : Flood.Answers.UNREAD));
        }
        drawn.sort(Comparator.comparingDouble(PlannedFlood::atMs));
        return drawn;
    }

    void begin(List<ProxyProcess> fleet) {
        proxies = fleet;
        thread.start();
    }

    private void play() {
        beganNanos = System.nanoTime();
        try {
            for (PlannedFlood flood : floods) {
                long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos);
                TimeUnit.MILLISECONDS.sleep(Math.max(0, (long) flood.atMs - elapsedMs));
                play(flood);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void play(PlannedFlood planned) throws InterruptedException {
        ProxyProcess proxy = proxies.get(planned.proxy % proxies.size());
        try (Flood flood = new Flood(proxy.listen(), planned.kind, className, planned.connections, planned.answers)) {
            begun++;
            String name = "beside" + Long.toHexString(System.nanoTime()) + "-";
            long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos((long) planned.forMs);
            new FloodWitness(proxy, className, name).watch(untilNanos).forEach(answer -> judge(planned, answer));
        } catch (IOException e) {
            // the proxy is down
        }
    }

    private void judge(PlannedFlood flood, FloodWitness.LateAnswer answer) {
        if (!hadFault(flood.proxy, answer) && answer.isJudged()) {
            lateAnswers.add(flood + " " + describe(answer));
        }
    }

    /** Whether a fault of the proxy explains that an answer is late. */
    private boolean hadFault(int proxy, FloodWitness.LateAnswer answer) {
        double sentMs = (answer.sentNanos() - beganNanos) / NANOS_PER_MILLI;
        double answeredMs = (answer.answeredNanos() - beganNanos) / NANOS_PER_MILLI;
        return faults.stream()
                .filter(fault -> fault.target().equals(PROXY_PREFIX + proxy))
                .anyMatch(fault -> fault.atMs() - FAULT_MARGIN_MS < answeredMs
                        && fault.atMs() + fault.forMs() + FAULT_MARGIN_MS > sentMs);
    }

    private static String describe(FloodWitness.LateAnswer answer) {
        return answer.id() + " was answered after "
                + TimeUnit.NANOSECONDS.toMillis(answer.answeredNanos() - answer.sentNanos()) + " ms";
    }

    /** The answers to others that came too late beside a flood, while no fault of the proxy explains it. */
    List<String> lateAnswers() {
        return List.copyOf(lateAnswers);
    }

    /** The number of floods that have connected. */
    int begun() {
        return begun;
    }

    @Override
    public void close() throws InterruptedException {
        thread.interrupt();
        thread.join();
    }
}
