package cacheproxy.lab;

import cacheproxy.demo.ProxyProcess;
import cacheproxy.emulator.Fault;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Misbehaving clients: they stop in the middle of a request, send nothing, send a byte at a time, send malformed
 * requests, send many requests at once, or disconnect. Those that must be rejected have to get an error or a close
 * within 3 s of connecting. They connect directly to the proxies, one after another on each of {@link #THREADS}
 * threads.
 */
final class BadClients implements AutoCloseable {
    private static final int THREADS = 6;
    private static final long OWED_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Allowance for delays of the machine that runs the lab. */
    private static final long SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private static final int DRIP_MS = 400;
    private static final String READ = "mg 7f3a9c21e0b4d655 v O%s Pc=%s,d=900";
    private static final int MANY_READS = 150;
    private static final int MOST_EXAMPLES = 5;

    /** How a client misbehaves. */
    private enum Behaviour {
        HALF_LINE,
        NO_LINE_END,
        HALF_VALUE,
        NO_VALUE,
        MUTE,
        DRIP,
        UNREADABLE,
        READ_AND_HALF,
        MANY_THEN_LEAVE,
        LEAVE;

        /** Whether the proxy must answer it with an error or close its connection. */
        boolean owed() {
            return this != MANY_THEN_LEAVE && this != LEAVE;
        }
    }

    private final long seed;
    private final String className;
    private final List<Fault> faults;
    private final ExecutorService threads = Executors.newFixedThreadPool(THREADS, r -> {
        Thread thread = new Thread(r, "bad-client");
        thread.setDaemon(true);
        return thread;
    });
    private final AtomicInteger owed = new AtomicInteger();
    private final AtomicInteger unheard = new AtomicInteger();
    private final List<String> examples = new ArrayList<>();
    private volatile long beganNanos;
    private volatile boolean ended;

    /** {@code faults}: while a proxy is stopped by one of these, its clients are not counted. */
    BadClients(long seed, String className, List<Fault> faults) {
        this.seed = seed;
        this.className = className;
        this.faults = faults;
    }

    void begin(List<ProxyProcess> proxies) {
        beganNanos = System.nanoTime();
        for (int i = 0; i < THREADS; i++) {
            Random random = new Random(seed * 31 + i);
            threads.execute(() -> {
                while (!ended) {
                    int proxy = random.nextInt(proxies.size());
                    Behaviour behaviour = Behaviour.values()[random.nextInt(Behaviour.values().length)];
                    one(proxies.get(proxy), proxy, behaviour, Long.toHexString(random.nextLong()));
                }
            });
        }
    }

    private void one(ProxyProcess proxy, int index, Behaviour behaviour, String id) {
        long connected = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(proxy.listen(), 1000);
            connected = System.nanoTime();
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(words(behaviour, id).getBytes(StandardCharsets.ISO_8859_1));
            if (behaviour.owed()) {
                boolean heard = heard(socket, behaviour, connected + OWED_NANOS + SLACK_NANOS);
                judge(index, behaviour, id, connected, heard);
            }
        } catch (IOException e) {
            pause(); // the proxy is down, or has closed the connection, which is a valid reaction
        }
    }

    private void judge(int proxy, Behaviour behaviour, String id, long connected, boolean heard) {
        if (ended || stoodStill(proxy, connected, System.nanoTime())) {
            return;
        }
        owed.incrementAndGet();
        if (!heard) {
            unheard.incrementAndGet();
            synchronized (examples) {
                if (examples.size() < MOST_EXAMPLES) {
                    examples.add(behaviour + " " + id + " at proxy-" + proxy + " after "
                            + TimeUnit.NANOSECONDS.toMillis(connected - beganNanos) + " ms");
                }
            }
        }
    }

    private boolean stoodStill(int proxy, long fromNanos, long toNanos) {
        double from = (fromNanos - beganNanos) / 1e6;
        double to = (toNanos - beganNanos) / 1e6;
        return faults.stream()
                .filter(f -> f.action() == Fault.Action.STOP && f.target().equals("proxy-" + proxy))
                .anyMatch(f -> f.atMs() - 500 < to && f.atMs() + f.forMs() + 1000 > from);
    }

    private String words(Behaviour behaviour, String id) {
        String read = String.format(READ, id, className);
        return switch (behaviour) {
            case HALF_LINE -> read.substring(0, 14);
            case NO_LINE_END -> read;
            case HALF_VALUE -> "ms 7f3a 500 O" + id + " Pc=" + className + ",d=900\r\nhello";
            case NO_VALUE -> "ms 7f3a 500 O" + id + " Pc=" + className + ",d=900\r\n";
            case MUTE -> "";
            case DRIP -> "m";
            case UNREADABLE -> "ms 7f3a -1 O" + id + "\r\n";
            case READ_AND_HALF -> read + "\r\nmg 7f3a v";
            case MANY_THEN_LEAVE -> many(id);
            case LEAVE -> read + "\r\n";
        };
    }

    private String many(String id) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < MANY_READS; i++) {
            text.append(String.format(READ, id + "-" + i, className)).append("\r\n");
        }
        return text.toString();
    }

    /** Whether an error arrives or the connection is closed before the given time. */
    private boolean heard(Socket socket, Behaviour behaviour, long untilNanos) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder line = new StringBuilder();
        for (long left; (left = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime())) > 0; ) {
            socket.setSoTimeout((int) Math.min(left, DRIP_MS));
            try {
                int b = in.read();
                if (b < 0) {
                    return true;
                }
                line.append((char) b);
                if (b == '\n') {
                    if (line.toString().matches("(?s)(CLIENT_ERROR|SERVER_ERROR|ERROR).*")) {
                        return true;
                    }
                    line.setLength(0);
                }
            } catch (SocketTimeoutException e) {
                if (behaviour == Behaviour.DRIP) {
                    socket.getOutputStream().write('g');
                }
            }
        }
        return false;
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(50);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The number of clients that should have got an error or a close. */
    int owed() {
        return owed.get();
    }

    /** The number of those clients that got neither in time. */
    int unheard() {
        return unheard.get();
    }

    /** Descriptions of the first clients that got neither. */
    List<String> examples() {
        synchronized (examples) {
            return List.copyOf(examples);
        }
    }

    @Override
    public void close() {
        ended = true;
        threads.shutdownNow();
    }
}
