package damsonworks.proxy;

import damsonworks.proxy.Timers.Timer;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

final class Exchange {
    final ClientConnection client;
    final Command command;

    /** What is ready to go to the client, null once it has been handed on. */
    ByteBuf answer;
    /** Whether all of the answer has come. */
    boolean whole;
    /** The upstream connection that a long answer is read from. */
    UpstreamConnection source;

    int id;
    /** The index of its class in the settings. */
    int serviceClass;
    double dueMs;
    /** It has had its final answer, or the client has gone: nothing more may be sent for it. */
    boolean over;
    boolean streaming;
    int out;
    Timer timer;
    final List<Attempt> attempts = new ArrayList<>(3);

    Exchange(ClientConnection client, Command command) {
        this.client = client;
        this.command = command;
    }

    static final class Command {
        final String key;
        final String id;
        final boolean write;
        final String extras;
        final String head;
        final String tail;
        /** The value with its line's end; null for reads. Kept for attempts to come, until it is over. */
        ByteBuf value;

        Command(String key, String id, boolean write, String extras, String head, String tail) {
            this.key = key;
            this.id = id;
            this.write = write;
            this.extras = extras;
            this.head = head;
            this.tail = tail;
        }

        void release() {
            if (value != null) {
                value.release();
                value = null;
            }
        }
    }

    /** One try of a request at a server, or a probe of it (no exchange). */
    static final class Attempt {
        final Exchange exchange;
        final int index;
        final int server;
        final double sentMs;
        /** When the proxy stops waiting. */
        final double untilMs;
        UpstreamConnection connection;
        boolean written;
        /** It has had its one outcome. */
        boolean ended;
        /** Whether, as it ended, it may have run or may yet. */
        boolean mayHaveRun;
        /** When the first bytes of a long answer came, else 0. */
        double firstByteMs;
        Timer timer;

        Attempt(Exchange exchange, int index, int server, double sentMs, double untilMs) {
            this.exchange = exchange;
            this.index = index;
            this.server = server;
            this.sentMs = sentMs;
            this.untilMs = untilMs;
        }
    }
}
