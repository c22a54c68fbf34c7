package cacheproxy.lab;

import cacheproxy.demo.ProxyProcess;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A client beside a flood, on a connection of its own: asks one thing at a time and records the answers that come later
 * than the rules allow. It ends when its connection does.
 */
final class FloodWitness {
    private static final int TIMEOUT_MS = 250;
    /** How long after its time a final answer may come. */
    private static final int ANSWER_SLACK_MS = 500;
    /** Allowance for delays of the machine that runs the lab. */
    private static final int MACHINE_SLACK_MS = 250;

    private static final int INTERVAL_MS = 30;
    private static final int GIVE_UP_MS = 10_000;

    /** An answer that came too late, or not at all; times are those of {@link System#nanoTime}. */
    record LateAnswer(String id, long sentNanos, long answeredNanos) {
        /** Whether delays of the machine that runs the lab do not explain it. */
        boolean isJudged() {
            return TimeUnit.NANOSECONDS.toMillis(answeredNanos - sentNanos)
                    > TIMEOUT_MS + ANSWER_SLACK_MS + MACHINE_SLACK_MS;
        }
    }

    private final ProxyProcess proxy;
    private final String className;
    private final String name;
    private final List<LateAnswer> late = new ArrayList<>();

    FloodWitness(ProxyProcess proxy, String className, String name) {
        this.proxy = proxy;
        this.className = className;
        this.name = name;
    }

    /** Asks until this time; returns the answers that came too late. */
    List<LateAnswer> watch(long untilNanos) throws InterruptedException {
        try (Socket socket =
                new Socket(proxy.listen().getAddress(), proxy.listen().getPort())) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(GIVE_UP_MS);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (int i = 0; System.nanoTime() < untilNanos && ask(socket, in, name + i); i++) {
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
            }
        } catch (IOException e) {
            // the proxy is down, or has ended the connection between requests
        }
        return late;
    }

    /** Sends a read and waits for its answer; false if the connection has ended. */
    private boolean ask(Socket socket, BufferedReader in, String id) throws IOException {
        long sentNanos = System.nanoTime();
        String command = "mg " + id + " v O" + id + " Pc=" + className + ",d=" + TIMEOUT_MS + "\r\n";
        socket.getOutputStream().write(command.getBytes(StandardCharsets.ISO_8859_1));
        try {
            String answer = in.readLine();
            return answer != null && (!answer.startsWith("VA ") || skipValue(in, answer));
        } finally {
            long nowNanos = System.nanoTime();
            boolean inTime = TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos) <= TIMEOUT_MS + ANSWER_SLACK_MS;
            if (!inTime) {
                late.add(new LateAnswer(id, sentNanos, nowNanos));
            }
        }
    }

    private static boolean skipValue(BufferedReader in, String head) throws IOException {
        long left = Long.parseLong(head.split(" ")[1]) + 2;
        while (left > 0) {
            long skipped = in.skip(left);
            if (skipped <= 0) {
                return false;
            }
            left -= skipped;
        }
        return true;
    }
}
