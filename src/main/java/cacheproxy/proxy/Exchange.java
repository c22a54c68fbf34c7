package cacheproxy.proxy;

import cacheproxy.admission.Permits;
import cacheproxy.admission.RequestState;
import cacheproxy.flow.ByteBudget;
import cacheproxy.proxy.Timers.Timer;
import cacheproxy.routing.ServiceClass;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/** A request that the core has taken, with its attempts. */
final class Exchange {
    final Sink sink;
    final Command command;
    /** When its last byte came to this machine, on the clock of {@link Dispatcher#now}: its time counts from then. */
    final double cameMs;

    int id;
    /** Its class as the settings had it when it came. */
    ServiceClass kind;
    /** How often it may be tried by the settings of that time. */
    int maxAttempts;

    double dueMs;
    private RequestState state = RequestState.OPEN;
    int out;
    Timer timer;
    final List<Attempt> attempts = new ArrayList<>(3);

    Exchange(Sink sink, Command command, double cameMs) {
        this.sink = sink;
        this.command = command;
        this.cameMs = cameMs;
    }

    RequestState state() {
        return state;
    }

    /** It has had its final answer, or the client has gone: nothing more may be sent for it. */
    boolean over() {
        return state.over();
    }

    /** A long answer is being passed on. */
    boolean streaming() {
        return state == RequestState.STREAMING;
    }

    /** Takes it to this state; false, and nothing changes, where it can't be taken there from its present one. */
    boolean become(RequestState next) {
        boolean may = state.mayBecome(next);
        state = may ? next : state;
        return may;
    }

    /** Its attempts but for this one, as they are now; null for all of them. */
    List<Permits.Earlier> attemptsBut(Attempt but) {
        List<Permits.Earlier> earlier = new ArrayList<>(attempts.size());
        for (Attempt a : attempts) {
            if (a != but) {
                earlier.add(new Permits.Earlier(a.sentMs, a.place, !a.ended, !a.ended || a.mayHaveRun));
            }
        }
        return earlier;
    }

    /** What is asked for, as a front has read it. */
    static final class Command {
        /** The front's index in {@link cacheproxy.route.Routing#FRONTS}. */
        final int front;

        final String key;
        /** The client's name for the request, which no other open one may have. */
        final String id;

        final boolean write;
        final Terms terms;
        /** The list of named figures that the origin is passed, as clients of the meta protocol word it. */
        final DeadlineText extras;
        /** The command line for a cache node, without its end. */
        final DeadlineText line;
        /** The value with its line's end; null for reads. Kept for attempts to come, until it is over. */
        ByteBuf value;
        /** The room that its value has; null for reads. */
        ByteBudget.Reservation room;

        Command(int front, String key, String id, boolean write, Terms terms, DeadlineText extras, DeadlineText line) {
            this.front = front;
            this.key = key;
            this.id = id;
            this.write = write;
            this.terms = terms;
            this.extras = extras;
            this.line = line;
        }

        /** Frees the value and its room, which would else be taken for good. */
        void release() {
            if (value != null) {
                value.release();
                value = null;
            }
            if (room != null) {
                room.release();
                room = null;
            }
        }
    }

    /**
     * What a client says of its request.
     *
     * @param kind the name of its class
     * @param tenant whose it is; null if it does not say
     * @param waitMs how long it waits for the answer, in milliseconds; NaN if it does not say
     * @param work what it costs a server, in microseconds; NaN if it does not say
     * @param bytes how long its value is, 0 if it does not say
     * @param repeat whether it was asked before
     */
    record Terms(String kind, String tenant, double waitMs, double work, float bytes, boolean repeat) {}

    /** One try of a request at a server, or a probe of it (no exchange). */
    static final class Attempt {
        final Exchange exchange;
        final int index;
        final int server;
        final double sentMs;
        /** When the proxy stops waiting. */
        final double untilMs;
        /** Where its server stands. */
        final Permits.Place place;

        UpstreamConnection connection;
        boolean written;
        /** It has had its one outcome. */
        boolean ended;
        /** Whether, as it ended, it may have run or may yet. */
        boolean mayHaveRun;
        /** When the first bytes of a long answer came, else 0. */
        double firstByteMs;

        Timer timer;

        Attempt(Exchange exchange, int index, int server, Permits.Place place, double sentMs, double untilMs) {
            this.exchange = exchange;
            this.index = index;
            this.server = server;
            this.place = place;
            this.sentMs = sentMs;
            this.untilMs = untilMs;
        }

        /**
         * How long the proxy still waits for it, in whole milliseconds: rounded down, as a server must not be told of
         * time that its client does not have, and at least 1, as servers take 0 for no deadline.
         */
        long remainingMs(double nowMs) {
            return Math.max(1, (long) Math.floor(untilMs - nowMs));
        }
    }
}
