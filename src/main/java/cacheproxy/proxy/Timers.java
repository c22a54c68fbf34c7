package cacheproxy.proxy;

import cacheproxy.proxy.transport.InputBarrier;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A timer wheel for requests. Each request sets three or more timers, few of which are still needed when they are due.
 * A wheel sets and cancels them in constant time, while the event loop's own queue would sort all of them. If the event
 * loop was blocked, input that has arrived meanwhile is processed before the timers that are due. Event loop only.
 */
final class Timers {
    private static final long SLOT_NANOS = 2_000_000;
    private static final double NANOS_PER_MILLI = 1e6;
    /** A power of two. With slots of 2 ms the wheel covers about 4 s, the longest usual deadline. */
    private static final int SLOTS = 2048;

    private static final int SLOT_MASK = SLOTS - 1;
    /** If the last poll for input is longer ago, timers wait for the next one. */
    private static final double MAX_POLL_AGE_MS = 50;

    /** No slot; slots are numbered from 1. */
    private static final long NONE = 0;

    /** A task that runs once, unless it is cancelled before. */
    static final class Timer {
        private Runnable task;

        private Timer(Runnable task) {
            this.task = task;
        }

        /** Prevents the task from running; no effect once it has run. */
        void cancel() {
            task = null;
        }

        private void run() {
            Runnable due = task;
            if (due != null) {
                task = null;
                due.run();
            }
        }
    }

    private final EventLoop loop;
    private final LoopClock loopClock;
    private final long startNanos = System.nanoTime();
    private final List<List<Timer>> wheel = new ArrayList<>(SLOTS);
    private final BitSet occupied = new BitSet(SLOTS);
    /** The number of the last slot whose timers have run, counted from the start. */
    private long lastRunSlot;
    /** The slot for which a wake-up is scheduled on the event loop, or {@link #NONE}. */
    private long scheduledSlot = NONE;

    /** An empty list, which replaces the list of a slot while its timers run. */
    private List<Timer> emptyList = new ArrayList<>();

    Timers(EventLoop loop, LoopClock loopClock) {
        this.loop = loop;
        this.loopClock = loopClock;
        for (int i = 0; i < SLOTS; i++) {
            wheel.add(new ArrayList<>(0));
        }
    }

    /** Cancels a timer, if there is one; null is ignored. */
    static void cancel(Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }

    /**
     * Runs the task after {@code ms} milliseconds, never earlier and up to one slot later. Timers of one slot run in
     * the order in which they were set.
     */
    Timer after(double ms, Runnable task) {
        Timer timer = new Timer(task);
        long now = System.nanoTime() - startNanos;
        long dueNanos = now + (long) (Math.max(0, ms) * NANOS_PER_MILLI);
        long slot = Math.max(lastRunSlot + 1, dueNanos / SLOT_NANOS + 1);
        if (slot - lastRunSlot >= SLOTS) {
            loop.schedule(timer::run, (long) (ms * NANOS_PER_MILLI), TimeUnit.NANOSECONDS);
            return timer;
        }
        int index = indexOf(slot);
        wheel.get(index).add(timer);
        occupied.set(index);
        if (scheduledSlot == NONE || slot < scheduledSlot) {
            schedule(slot, now);
        }
        return timer;
    }

    private static int indexOf(long slot) {
        return (int) (slot & SLOT_MASK);
    }

    private void schedule(long slot, long nowNanos) {
        scheduledSlot = slot;
        loop.schedule(() -> wakeUp(slot), Math.max(0, slot * SLOT_NANOS - nowNanos), TimeUnit.NANOSECONDS);
    }

    private void wakeUp(long slot) {
        if (slot != scheduledSlot) {
            return; // an earlier slot was scheduled since, and its wake-up schedules this slot again
        }
        if (loopClock.sinceLastPollMs() > MAX_POLL_AGE_MS) {
            InputBarrier.afterInput(loop, () -> runDue(slot));
        } else {
            runDue(slot);
        }
    }

    private void runDue(long slot) {
        if (slot != scheduledSlot) {
            return; // as above
        }
        scheduledSlot = NONE;
        long lastDueSlot = (System.nanoTime() - startNanos) / SLOT_NANOS;
        for (long next = nextSlot(); next != NONE && next <= lastDueSlot; next = nextSlot()) {
            lastRunSlot = next;
            runSlot(indexOf(next));
        }
        lastRunSlot = Math.max(lastRunSlot, lastDueSlot);
        long next = nextSlot();
        if (next != NONE && (scheduledSlot == NONE || next < scheduledSlot)) {
            schedule(next, System.nanoTime() - startNanos);
        }
    }

    private void runSlot(int index) {
        List<Timer> due = wheel.set(index, emptyList);
        occupied.clear(index);
        due.forEach(Timer::run);
        due.clear();
        emptyList = due;
    }

    /** The first slot with timers after the last slot that has run; {@link #NONE} if there are no timers. */
    private long nextSlot() {
        int from = indexOf(lastRunSlot + 1);
        int index = occupied.nextSetBit(from);
        if (index < 0) {
            index = occupied.nextSetBit(0);
        }
        return index < 0 ? NONE : lastRunSlot + 1 + (index - from & SLOT_MASK);
    }
}
