package cacheproxy.proxy.transport;

import cacheproxy.flow.TurnScheduler;
import java.util.ArrayDeque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The turns of an event loop: serves the connections that {@link TurnScheduler} lets wait, and flushes what connections
 * have written, once in each iteration of the loop and behind its input. Event loop only.
 */
public final class InputTurns {
    private static final int CLIENT_WEIGHT = 1;
    /** Above that of a client: responses end work, requests begin it. */
    private static final int SERVER_WEIGHT = 12;

    /** The most that one piece of work is taken to cost, in microseconds. */
    private static final long MAX_COST = 20_000;

    private final ScheduledExecutorService loop;
    private final TurnScheduler<Runnable> scheduler = new TurnScheduler<>();
    private ArrayDeque<PendingFlush> flushes = new ArrayDeque<>();
    private ArrayDeque<PendingFlush> running = new ArrayDeque<>();
    private boolean scheduled;

    private record PendingFlush(TurnScheduler.Source<Runnable> source, Runnable task) {}

    /** The turns on this loop. */
    public InputTurns(ScheduledExecutorService loop) {
        this.loop = loop;
    }

    /**
     * The cost of work that began at this {@link System#nanoTime}, in microseconds; bounded, as the process may have
     * stood still.
     */
    public static int costSince(long beganNanos) {
        return (int) Math.min(MAX_COST, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - beganNanos));
    }

    /** One connection's turns. */
    public final class Turns {
        private final TurnScheduler.Source<Runnable> source;

        private Turns(TurnScheduler.Source<Runnable> source) {
            this.source = source;
        }

        /** Whether the connection may go on with its input now; otherwise it has to {@link #await} its turn. */
        public boolean mayWork() {
            return scheduler.mayWork(source);
        }

        /** Records the cost of a piece of work, in microseconds of processor time. */
        public void charge(int cost) {
            scheduler.charge(source, cost);
            schedule();
        }

        /** Records what it cost to read its input, in microseconds; the connection owes nothing for it. */
        public void chargeRead(int cost) {
            scheduler.chargePhase(cost);
            schedule();
        }

        /** Waits for the connection's next turn. */
        public void await() {
            scheduler.await(source);
            schedule();
        }

        /** Waits for the connection's next turn behind those whose input has just come, as its own had to wait. */
        public void awaitBacklogged() {
            scheduler.awaitBacklogged(source);
            schedule();
        }

        /** Ends the wait, if there is one. */
        public void cancel() {
            scheduler.remove(source);
        }

        /** Runs {@code flush} at the end of this turn, and counts its cost. */
        public void flushLater(Runnable flush) {
            flushes.add(new PendingFlush(source, flush));
            schedule();
        }
    }

    /** Creates the turns of a client's connection; {@code onTurn} runs when one has come for which it waited. */
    public Turns newClientTurns(Runnable onTurn) {
        return new Turns(scheduler.newSource(onTurn, CLIENT_WEIGHT));
    }

    /** As above, for a server's connection. */
    Turns newServerTurns(Runnable onTurn) {
        return new Turns(scheduler.newResponseSource(onTurn, SERVER_WEIGHT));
    }

    /**
     * Runs a task behind the round of input that has brought it about, as {@link InputBarrier}, and counts its cost.
     */
    public void afterInput(Runnable task) {
        InputBarrier.afterInput(loop, () -> runDeferred(task));
    }

    private void runDeferred(Runnable task) {
        long beganNanos = System.nanoTime();
        task.run();
        scheduler.chargeDeferred(costSince(beganNanos));
        schedule();
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            InputBarrier.afterInput(loop, this::run);
        }
    }

    private void run() {
        scheduled = false;
        try {
            scheduler.beginQueued();
            for (Runnable onTurn = scheduler.next(); onTurn != null; onTurn = scheduler.next()) {
                onTurn.run();
            }
            flushAll();
        } finally {
            scheduler.endTurn();
            if (scheduler.hasWaiting() || !flushes.isEmpty()) {
                schedule();
            } else {
                scheduler.endIdle();
            }
        }
    }

    /** Runs the flushes so far; one that they bring about runs in the next turn. */
    private void flushAll() {
        ArrayDeque<PendingFlush> due = flushes;
        flushes = running;
        running = due;
        for (PendingFlush flush = due.poll(); flush != null; flush = due.poll()) {
            long beganNanos = System.nanoTime();
            flush.task.run();
            scheduler.chargeDeferred(flush.source, costSince(beganNanos));
        }
    }
}
