import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A cache node. Begins each command when its last byte has come, and answers in order, each after its own time. What it
 * answers, and when, the case tells.
 */
final class CacheNode implements AutoCloseable {
    /**
     * One answer.
     *
     * @param afterMs the time from the command's arrival
     * @param bytes what is written; empty for nothing
     * @param again what is written once more, later, if nothing else waits on the connection; null for nothing
     * @param againAfterMs how long after the answer
     */
    record Answer(double afterMs, byte[] bytes, byte[] again, double againAfterMs) {
        static Answer of(double afterMs, String text) {
            return new Answer(afterMs, Lines.ascii(text), null, 0);
        }
    }

    /** Decides on the answer to a read. */
    interface Behaviour {
        Answer read(String key, String id, String line);
    }

    final String name;
    private final Behaviour behaviour;
    private final Acceptor acceptor;

    CacheNode(String name, Behaviour behaviour) throws IOException {
        this.name = name;
        this.behaviour = behaviour;
        acceptor = new Acceptor(0, this::serve);
    }

    String address() {
        return acceptor.address();
    }

    private record Due(double atMs, Answer answer) {}

    private void serve(Socket socket) throws Exception {
        Lines in = new Lines(socket.getInputStream(), 8192);
        OutputStream out = socket.getOutputStream();
        LinkedBlockingQueue<Due> due = new LinkedBlockingQueue<>();
        Acceptor.daemon(() -> {
            while (!socket.isClosed()) {
                Due next = due.take();
                pause(next.atMs() - Record.now());
                out.write(next.answer().bytes());
                if (next.answer().again() != null && due.isEmpty()) {
                    pause(next.answer().againAfterMs());
                    out.write(next.answer().again());
                }
            }
        });
        try {
            for (String line; (line = in.line()) != null; ) {
                if (line.equals("mn")) {
                    due.add(new Due(0, Answer.of(0, "MN\r\n")));
                } else if (line.startsWith("mg ")) {
                    Answer answer = behaviour.read(line.split(" ")[1], Lines.flag(line, 'O'), line);
                    due.add(new Due(Record.now() + answer.afterMs(), answer));
                } else {
                    due.add(new Due(0, Answer.of(0, "ERROR\r\n")));
                }
            }
        } finally {
            due.add(new Due(0, Answer.of(0, ""))); // wakes the writer
            socket.close();
        }
    }

    static void pause(double ms) throws InterruptedException {
        if (ms > 0) {
            Thread.sleep((long) ms, (int) ((ms - (long) ms) * 1e6));
        }
    }

    static byte[] value(String id, byte[] value) {
        byte[] head = Lines.ascii("VA " + value.length + " O" + id + " h1\r\n");
        byte[] all = new byte[head.length + value.length + 2];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(value, 0, all, head.length, value.length);
        all[all.length - 2] = '\r';
        all[all.length - 1] = '\n';
        return all;
    }

    @Override
    public void close() throws IOException {
        acceptor.close();
    }
}
