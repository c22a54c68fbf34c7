package cacheproxy.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntConsumer;

/** Connections on which clients send one kind of input as fast as the proxy takes it, until it is closed. */
public final class Flood implements AutoCloseable {
    private static final int CHUNK_BYTES = 64 << 10;
    private static final int READ_BYTES = 256 << 10;
    /** Few, so that the process under test has a processor; each serves its part of the connections. */
    private static final int THREADS = 2;

    private static final long IDLE_NANOS = 100_000;

    /**
     * What is sent. Each kind is one command, which is repeated; {@code %1$x} is a number that is new each time, and
     * {@code CLASS} the name of a service class.
     */
    public enum Kind {
        EMPTY_LINES("\r\n"),
        LINE_FEEDS("\n"),
        UNKNOWN_COMMANDS("hello\r\n"),
        PINGS("mn\r\n"),
        READS_WITHOUT_ID("mg 7f3a v Pc=CLASS,d=250\r\n"),
        READS_OF_NEW_CLASSES("mg 7f3a v Of%1$x Pc=class-%1$x,d=250\r\n"),
        READS_OF_NEW_TENANTS("mg 7f3a v Of%1$x Pc=CLASS,t=tenant-%1$x,d=250\r\n"),
        READS_OF_ONE_ID("mg 7f3a v Osame Pc=CLASS,d=250\r\n"),
        READS_OF_ONE_KEY("mg 7f3a v Of%1$x Pc=CLASS,d=250\r\n"),
        READS_OF_NEW_KEYS("mg k%1$x v Of%1$x Pc=CLASS,d=250\r\n"),
        READS_OF_LONG_IDS("mg 7f3a v Of%1$x" + "x".repeat(3000) + " Pc=CLASS,d=250\r\n"),
        MANY_SHORT_FLAGS("mg 7f3a v" + " a".repeat(1900) + "\r\n"),
        MANY_SHORT_PARAMETERS("mg 7f3a v Of%1$x Pa=1" + ",a=1".repeat(900) + "\r\n"),
        WRITES_WITHOUT_ID("ms 7f3a 2 Pc=CLASS,d=250\r\nab\r\n"),
        EMPTY_WRITES("ms 7f3a 0 Of%1$x Pc=CLASS,d=250\r\n\r\n"),
        LONG_WRITES("ms 7f3a 60000 Of%1$x Pc=CLASS,d=250\r\n" + "v".repeat(60_000) + "\r\n");

        private final String command;

        Kind(String command) {
            this.command = command;
        }
    }

    /** What becomes of the answers. */
    public enum Answers {
        READ,
        UNREAD
    }

    private static final AtomicLong NUMBERS = new AtomicLong(1L << 32);

    private final List<SocketChannel> sockets = new ArrayList<>();
    private final String command;
    /** The threads that found in their last round that no connection took more input. */
    private final Set<Thread> blockedSenders = ConcurrentHashMap.newKeySet();

    private volatile boolean ended;

    /** Starts to send on this many connections; {@code className}: the service class of requests. */
    public Flood(InetSocketAddress to, Kind kind, String className, int connections, Answers answers)
            throws IOException {
        command = kind.command.replace("CLASS", className);
        for (int i = 0; i < connections; i++) {
            SocketChannel socket = SocketChannel.open(to);
            socket.configureBlocking(false);
            sockets.add(socket);
        }
        for (int thread = 0; thread < THREADS; thread++) {
            List<SocketChannel> part = every(THREADS, thread);
            daemon("flood", () -> send(part));
            if (answers == Answers.READ) {
                daemon("flood-reader", () -> discardInput(part));
            }
        }
    }

    private List<SocketChannel> every(int interval, int first) {
        List<SocketChannel> part = new ArrayList<>();
        for (int i = first; i < sockets.size(); i += interval) {
            part.add(sockets.get(i));
        }
        return part;
    }

    private static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void send(List<SocketChannel> part) {
        List<ByteBuffer> unsent = new ArrayList<>();
        part.forEach(socket -> unsent.add(ByteBuffer.wrap(chunk())));
        repeat(
                part,
                (socket, i) -> {
                    if (!unsent.get(i).hasRemaining()) {
                        unsent.set(i, ByteBuffer.wrap(chunk()));
                    }
                    return socket.write(unsent.get(i));
                },
                this::recordSent);
    }

    private byte[] chunk() {
        StringBuilder text = new StringBuilder(CHUNK_BYTES + command.length());
        while (text.length() < CHUNK_BYTES) {
            text.append(command.replace("%1$x", Long.toHexString(NUMBERS.incrementAndGet())));
        }
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private void discardInput(List<SocketChannel> part) {
        ByteBuffer buffer = ByteBuffer.allocateDirect(READ_BYTES);
        repeat(part, (socket, i) -> socket.read(buffer.clear()), bytes -> {});
    }

    /** A step on one connection; returns how many bytes it moved. */
    private interface Step {
        int run(SocketChannel socket, int index) throws IOException;
    }

    private void recordSent(int bytes) {
        if (bytes == 0) {
            blockedSenders.add(Thread.currentThread());
        } else {
            blockedSenders.remove(Thread.currentThread());
        }
    }

    /** Whether the proxy has stopped to take input: the buffers of all connections are full. */
    public boolean isBlocked() {
        return blockedSenders.size() == Math.min(THREADS, sockets.size());
    }

    /** Repeats a step on each connection; {@code afterRound} is told how many bytes a round has moved. */
    private void repeat(List<SocketChannel> part, Step step, IntConsumer afterRound) {
        while (!ended && !part.isEmpty()) {
            int moved = 0;
            for (int i = 0; i < part.size(); i++) {
                try {
                    moved += Math.max(0, step.run(part.get(i), i));
                } catch (IOException e) {
                    // closed by either side
                }
            }
            afterRound.accept(moved);
            if (moved == 0) {
                LockSupport.parkNanos(IDLE_NANOS);
            }
        }
    }

    @Override
    public void close() throws IOException {
        ended = true;
        for (SocketChannel socket : sockets) {
            socket.close();
        }
    }
}
