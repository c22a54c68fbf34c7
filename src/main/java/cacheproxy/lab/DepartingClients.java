package cacheproxy.lab;

import cacheproxy.demo.ProxiedFleet;
import cacheproxy.demo.ProxyProcess;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Clients that send requests and leave before they have the answers, by a close or a reset, on new connections and on
 * those that have served them before. Some runs have a crowd: many leave at the same moment. The oracle is told when
 * each one has left. They connect directly to the proxies.
 */
final class DepartingClients implements AutoCloseable {
    private static final int THREADS = 4;
    /** Connections of a thread that are open and have been served. */
    private static final int OPEN_CONNECTIONS = 6;

    private static final int CROWD_ODDS = 3;
    private static final int CROWD = 100;
    private static final int CROWD_ROUND_ODDS = 25;
    /** A crowd reads one key, as when a new episode appears; others read one of {@link #KEYS}. */
    private static final int CROWD_KEY = 0x100000;

    private static final int KEYS = 4096;
    private static final int MOST_PIPELINED = 6;
    private static final int MOST_STAY_MS = 250;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int ANSWER_TIMEOUT_MS = 1500;
    private static final int DEADLINE_MS = 900;

    private final long seed;
    private final String className;
    private final boolean judged;
    private final ExecutorService threads = Executors.newFixedThreadPool(THREADS, r -> {
        Thread thread = new Thread(r, "departing-client");
        thread.setDaemon(true);
        return thread;
    });
    private volatile boolean ended;

    /** {@code judged}: whether the oracle is told when they leave. */
    DepartingClients(long seed, String className, boolean judged) {
        this.seed = seed;
        this.className = className;
        this.judged = judged;
    }

    void begin(ProxiedFleet fleet) {
        for (int i = 0; i < THREADS; i++) {
            Random random = new Random(seed * 37 + i);
            boolean crowd = i == 0 && seed % CROWD_ODDS == 0;
            threads.execute(() -> new Group(fleet, random, crowd).run());
        }
    }

    @Override
    public void close() {
        ended = true;
        threads.shutdownNow();
    }

    /** The clients of one thread. */
    private final class Group {
        private final ProxiedFleet fleet;
        private final Random random;
        private final boolean crowd;
        private final List<Socket> served = new ArrayList<>();

        Group(ProxiedFleet fleet, Random random, boolean crowd) {
            this.fleet = fleet;
            this.random = random;
            this.crowd = crowd;
        }

        void run() {
            try {
                while (!ended) {
                    if (crowd && random.nextInt(CROWD_ROUND_ODDS) == 0) {
                        leaveTogether(CROWD);
                    } else {
                        leaveTogether(1);
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                served.forEach(DepartingClients::closeQuietly);
            }
        }

        /** Sends requests of several clients at one proxy and closes their connections at the same moment. */
        private void leaveTogether(int many) throws InterruptedException {
            ProxyProcess proxy =
                    fleet.proxies().get(random.nextInt(fleet.proxies().size()));
            List<Socket> sockets = new ArrayList<>();
            try {
                leaveTogether(proxy, many, sockets);
            } finally {
                sockets.forEach(DepartingClients::closeQuietly); // those that the end of the run has interrupted
            }
        }

        private void leaveTogether(ProxyProcess proxy, int many, List<Socket> sockets) throws InterruptedException {
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < many && !ended; i++) {
                Socket socket = null;
                try {
                    socket = many == 1 && random.nextBoolean() ? served() : connect(proxy);
                    int key = many == 1 ? CROWD_KEY + random.nextInt(KEYS) : CROWD_KEY;
                    ids.addAll(send(socket, 1 + random.nextInt(MOST_PIPELINED), key));
                    sockets.add(socket);
                } catch (IOException e) {
                    closeQuietly(socket); // the proxy is down or has closed the connection
                    TimeUnit.MILLISECONDS.sleep(5);
                }
            }
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MOST_STAY_MS));
            boolean reset = random.nextBoolean();
            sockets.forEach(socket -> leave(socket, reset));
            double leftMs = fleet.fleet().now();
            if (judged) {
                fleet.fleet().tell(oracle -> ids.forEach(id -> oracle.left(id, leftMs)));
            }
        }

        /** A connection on which a request has been served; opens those that are missing first. */
        private Socket served() throws IOException {
            while (served.size() < OPEN_CONNECTIONS && !ended) {
                ProxyProcess proxy =
                        fleet.proxies().get(random.nextInt(fleet.proxies().size()));
                Socket socket = connect(proxy);
                try {
                    send(socket, 1, CROWD_KEY + random.nextInt(KEYS));
                    awaitAnswer(socket.getInputStream());
                } catch (IOException e) {
                    closeQuietly(socket);
                    throw e;
                }
                served.add(socket);
            }
            if (served.isEmpty()) {
                throw new SocketException("the run has ended");
            }
            return served.remove(random.nextInt(served.size()));
        }

        private Socket connect(ProxyProcess proxy) throws IOException {
            Socket socket = new Socket();
            try {
                socket.connect(proxy.listen(), CONNECT_TIMEOUT_MS);
                socket.setSoTimeout(ANSWER_TIMEOUT_MS);
                socket.setTcpNoDelay(true);
                return socket;
            } catch (IOException e) {
                closeQuietly(socket);
                throw e;
            }
        }

        /** Sends this many reads of a key at once; returns their ids. */
        private List<String> send(Socket socket, int many, int key) throws IOException {
            List<String> ids = new ArrayList<>();
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < many; i++) {
                String id = Long.toHexString(random.nextLong());
                ids.add(id);
                text.append(String.format("mg %x v O%s Pc=%s,d=%d\r\n", key, id, className, DEADLINE_MS));
            }
            socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
            return ids;
        }
    }

    /** Reads until the end of the first line, and what has arrived with it. */
    private static void awaitAnswer(InputStream in) throws IOException {
        byte[] buffer = new byte[4096];
        int read = in.read(buffer);
        if (read < 0) {
            throw new SocketException("closed without an answer");
        }
    }

    private static void leave(Socket socket, boolean reset) {
        try {
            if (reset) {
                socket.setSoLinger(true, 0);
            }
        } catch (SocketException e) {
            // closed by the proxy
        }
        closeQuietly(socket);
    }

    private static void closeQuietly(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // it has ended in any case
        }
    }
}
