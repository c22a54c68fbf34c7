package cacheproxy.proxy;

import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.metrics.Metric;
import cacheproxy.proxy.transport.Connecting;
import cacheproxy.routing.AttemptOutcome;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.List;

/**
 * One connection to a server with the attempts on it, in the order in which their answers come. How an attempt ends
 * when the connection does hangs on whether its last byte was written: only then may it have run.
 */
@SuppressWarnings("OperatorPrecedence") // && binds before ||; parentheses follow as lines are touched
final class UpstreamConnection implements ResponseWriter.FlowControl {
    /** Turns an attempt into the server's protocol and its answers into calls of the methods below. */
    interface Codec {
        /** {@code remainingMs}: how long the server is told that its answer is waited for. */
        ChannelFuture write(Channel channel, RequestAttempt attempt, long remainingMs, SocketAddress dial);
    }

    /** A server pauses for 0.1 s at most within an answer; one that stops for this long will not go on. */
    private static final double STALLED_MS = 3000;

    /** Three times the longest pause: a short answer that has stopped for this long has been cut off. */
    private static final double CUT_MS = 300;

    /** A server that has no place for a connection ends it right behind its answer. */
    private static final double PLACE_MS = 5;

    private final Upstream upstream;
    private final ArrayDeque<RequestAttempt> attempts = new ArrayDeque<>(4);
    private Codec codec;
    private Channel channel;
    private SocketAddress dial;
    private boolean connected;
    private boolean closed;
    private boolean retired;
    /** It was ended from this side, whatever was still to come. */
    private boolean cutOff;

    private boolean reading;
    private boolean held;
    private int givenUp;
    private double idleSinceMs;
    private double progressMs;
    private boolean begun;
    private boolean partial;
    private boolean watched;
    private boolean answered;
    /** The first attempt, where it was turned away and it is not yet known why. */
    private RequestAttempt turnedAway;

    UpstreamConnection(Upstream upstream) {
        this.upstream = upstream;
        idleSinceMs = upstream.dispatcher().now();
    }

    Dispatcher dispatcher() {
        return upstream.dispatcher();
    }

    void use(Codec by) {
        codec = by;
    }

    void opening(ChannelFuture future, SocketAddress to) {
        channel = Connecting.channel(future);
        dial = to;
        Connecting.whenDone(upstream.dispatcher().loop(), future, () -> {
            if (future.isSuccess()) {
                opened();
            } else {
                upstream.dispatcher().counters().increment(Metric.CONNECTIONS_FAILED);
                closed();
            }
        });
    }

    private void opened() {
        expireWaiting();
        connected = true;
        if (attempts.isEmpty()) {
            idleSinceMs = upstream.dispatcher().now();
            if (retired) {
                close();
            }
        }
        for (RequestAttempt waiting : List.copyOf(attempts)) {
            if (waiting.request == null
                    || upstream.dispatcher().attemptStarter().mayBegin(waiting)) {
                write(waiting);
            } else {
                attempts.remove(waiting);
                upstream.dispatcher().attempts().end(waiting, AttemptOutcome.NOT_SENT);
            }
        }
    }

    /** A long answer is being passed on. */
    boolean streaming() {
        return begun;
    }

    boolean connected() {
        return connected;
    }

    int depth() {
        return attempts.size();
    }

    double idleSinceMs() {
        return idleSinceMs;
    }

    /** Whether nothing is out on it, and nothing is being read from it. */
    boolean idle() {
        return connected && !closed && !retired && !reading && turnedAway == null && attempts.isEmpty();
    }

    /**
     * Whether one more attempt may go onto it. Not while what has come is still being read: bytes right behind an
     * answer would be taken for the answer to an attempt that was put on the connection in between. Nor one that has
     * stood idle since {@code idleBeforeMs}: its server may end it just now.
     */
    boolean usable(int maxDepth, double idleBeforeMs) {
        boolean old = connected && attempts.isEmpty() && idleSinceMs <= idleBeforeMs;
        return !closed
                && !old
                && !retired
                && !reading
                && attempts.size() < maxDepth
                && (!connected || channel.isActive() && channel.isWritable());
    }

    /** Whether its last answer, if it has had any, is so long ago; for one that stands idle. */
    boolean rested(double now, double restMs) {
        return !answered || now - idleSinceMs >= restMs;
    }

    boolean better(UpstreamConnection other) {
        return depth() != other.depth() ? depth() < other.depth() : idleSinceMs > other.idleSinceMs;
    }

    void send(RequestAttempt attempt) {
        attempt.connection = this;
        attempts.add(attempt);
        if (connected) {
            write(attempt);
        }
    }

    /** What came up as late as this has no time left: nothing may go out for it any more. */
    private void expireWaiting() {
        double now = upstream.dispatcher().now();
        List.copyOf(attempts).stream()
                .filter(a -> a.expiresMs <= now)
                .forEach(upstream.dispatcher().attempts()::expire);
    }

    private void write(RequestAttempt attempt) {
        // Less by what may be wrong with the time at which the request came.
        long remainingMs = attempt.remainingMs(upstream.dispatcher().now() + LoopClock.TOLERANCE_MS);
        upstream.dispatcher().attemptStarter().checkRemainingTime(attempt, remainingMs);
        codec.write(channel, attempt, remainingMs, dial).addListener(f -> {
            if (f.isSuccess()) {
                attempt.written = true;
                if (attempt.request != null) {
                    upstream.dispatcher().counters().recordForward();
                }
            }
        });
    }

    /** Takes back an attempt that waits for the connection to come up; false if it may have begun to go out. */
    boolean takeBack(RequestAttempt attempt) {
        return !connected && attempts.remove(attempt);
    }

    /** Takes back all that waits for it to come up, and so ends it. */
    void withdraw() {
        if (!connected) {
            retired = true;
            for (RequestAttempt a; (a = attempts.poll()) != null; ) {
                upstream.dispatcher().attempts().end(a, AttemptOutcome.NOT_SENT);
            }
            close();
        }
    }

    /**
     * Whether giving the attempt up ends it: what has gone out is out until its connection ends, and that would take
     * what else is waited for there with it.
     */
    boolean endsAlone() {
        return !connected || attempts.size() - givenUp == 1;
    }

    /** Nobody waits for it any more; whether nothing of it has gone out or will. */
    boolean giveUp(RequestAttempt attempt) {
        if (!connected) {
            return takeBack(attempt);
        }
        if (attempts.contains(attempt)
                && ++givenUp == attempts.size()
                && (retired || upstream.dispatcher().servers().mayClose())) {
            close();
        }
        return false;
    }

    /** Nothing more goes onto it; it closes once nobody waits for what is on it. */
    void retire() {
        retired = true;
        if (givenUp == attempts.size()) {
            close();
        }
    }

    boolean retired() {
        return retired;
    }

    /** Stops reading while the client can't take more. */
    @Override
    public void setPaused(boolean on) {
        if (held != on) {
            held = on;
            progressMs = upstream.dispatcher().now();
            channel.config().setAutoRead(!on);
        }
    }

    void sweep(double now) {
        RequestAttempt head = attempts.peek();
        boolean silent = connected && head != null && head.ended && now - head.expiresMs > STALLED_MS;
        if (silent || begun && !held && now - progressMs > STALLED_MS) {
            close();
        }
    }

    /** Whether it was ended from this side: what it brings out as it ends is no whole answer. */
    boolean cutOff() {
        return cutOff;
    }

    void close() {
        retired = true;
        cutOff = true;
        if (channel != null) {
            channel.close();
        }
    }

    // ---- what the codec has read

    /** Told when input has come and again when all of it has been read. */
    void reading(boolean on) {
        reading = on;
    }

    /** The attempt whose answer comes next; null if none is out, so that what comes is not the protocol's. */
    RequestAttempt head() {
        return attempts.peek();
    }

    /** A short answer or a long one's end has come whole. */
    void ended(AttemptOutcome outcome, int note, float[] report, ServerResponse answer) {
        RequestAttempt attempt = attempts.poll();
        begun = false;
        partial = false;
        if (attempt.ended) {
            givenUp--;
        }
        if (attempts.isEmpty()) {
            idleSinceMs = upstream.dispatcher().now();
        }
        boolean first = !answered;
        answered = true;
        if (first && outcome == AttemptOutcome.REJECTED && !upstream.origin) {
            turnedAway = attempt;
            upstream.dispatcher().after(PLACE_MS, () -> turnedAway(AttemptOutcome.REJECTED));
        } else {
            upstream.dispatcher().attempts().end(attempt, outcome, note, report, answer);
        }
        // After the end, which may find no room at its client: between two answers nobody is there to let go of it.
        setPaused(false);
        if (attempts.isEmpty() && retired) {
            close();
        }
    }

    /**
     * The end of a first attempt that was turned away. Guards against proxies that ask again and again for a place at a
     * server which has given all of them to others: only one that ends the connection as well has none left.
     */
    private void turnedAway(AttemptOutcome outcome) {
        if (turnedAway != null) {
            RequestAttempt attempt = turnedAway;
            turnedAway = null;
            upstream.dispatcher().attempts().end(attempt, outcome);
        }
    }

    /**
     * Part of a short answer has come. Guards against one that is cut off on a connection that stays open: its attempt
     * would be waited for until the request's time is up. It may have run, so it ends as a reset.
     */
    void partial() {
        partial = true;
        progressMs = upstream.dispatcher().now();
        if (!watched) {
            watched = true;
            watch(CUT_MS);
        }
    }

    private void watch(double ms) {
        upstream.dispatcher().after(ms, () -> {
            double left = CUT_MS - (upstream.dispatcher().now() - progressMs);
            watched = partial && !closed && left > 0;
            if (watched) {
                watch(left);
            } else if (partial && !closed) {
                close();
            }
        });
    }

    /** A long answer begins; false if nobody waits for it, so that it is to be dropped. */
    boolean begin(int length) {
        begun = true;
        partial = false; // its line may have come in pieces; from here on the client may be what it waits for
        progressMs = upstream.dispatcher().now();
        return upstream.dispatcher().streaming().begin(attempts.peek(), length);
    }

    void part(ByteBuf part) {
        progressMs = upstream.dispatcher().now();
        upstream.dispatcher().streaming().writePart(attempts.peek(), part);
    }

    void garbage(String what) {
        upstream.dispatcher()
                .log(EventKind.SERVER_PROTOCOL_ERROR, LogMessage.of(what).with("server", dial));
        close();
    }

    void closed() {
        if (closed) {
            return;
        }
        closed = true;
        // Guards against ended connections that count on: the server's limit and the proxy's fill up for good.
        upstream.closed(this);
        if (turnedAway != null) {
            // Where the end is ours (what came behind could not be read), it tells nothing of places.
            turnedAway(!retired && upstream.turnedAway() ? AttemptOutcome.CONNECTION_LIMIT : AttemptOutcome.REJECTED);
        }
        for (RequestAttempt a; (a = attempts.poll()) != null; ) {
            if (!connected && !a.ended && upstream.sendElsewhere(a)) {
                continue;
            }
            AttemptOutcome outcome = a.written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
            upstream.dispatcher().attempts().end(a, outcome);
        }
    }
}
