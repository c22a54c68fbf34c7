package cacheproxy.proxy;

import cacheproxy.state.Finding.Severity;
import cacheproxy.state.OpenedState;
import cacheproxy.state.RecordStore;
import cacheproxy.state.StateFileHeader;
import cacheproxy.state.StateFolder;
import cacheproxy.state.StateWrite;
import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Carries out the writes of a {@link RecordStore} on a thread of its own, which may block on the disk. Waits until no
 * other process writes to the folder, such as the one that this process takes over from. A folder that can't be written
 * is logged once and costs no request.
 *
 * <p>Event loop only, but for {@link #awaitClosed}.
 */
final class StateFolderWriter {
    /** After the folder could not be used, it is tried again after so long. */
    private static final double FOLDER_RETRY_MS = 5000;
    /** While another process has the lock, it is tried again after so long. */
    private static final double LOCK_RETRY_MS = 300;
    /** How long the end of the process waits for the final write. */
    private static final long FINAL_WRITE_TIMEOUT_MS = 300;

    private static final double NANOS_PER_MS = 1e6;

    private final StateFolder folder;
    private final String instance;
    private final String fleet;
    private final RecordStore store;
    private final ExecutorService thread = Executors.newSingleThreadExecutor(r -> {
        Thread daemon = new Thread(r, "state");
        daemon.setDaemon(true);
        return daemon;
    });
    private Dispatcher dispatcher;
    private boolean hasLock;
    private boolean lockPending;
    private boolean failureLogged;
    private boolean closed;
    /** Counts the times that a timer was set or overtaken; an earlier timer does nothing. */
    private long timerGeneration;

    StateFolderWriter(StateFolder folder, String instance, String fleet, RecordStore store) {
        this.folder = folder;
        this.instance = instance;
        this.fleet = fleet;
        this.store = store;
    }

    /** Sets the dispatcher whose event loop and log are used from here on. */
    void start(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /** The monotonic clock of the record store, in milliseconds. */
    static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** Writes what is due, or sets a timer for when it will be. To be called when a record has changed. */
    void writeDue() {
        if (!hasLock) {
            acquireLock();
            return;
        }
        long timer = ++timerGeneration;
        StateWrite write = store.nextWrite(nowMs());
        if (write != null) {
            thread.execute(() -> write(write));
            return;
        }
        double dueMs = store.nextWriteAtMs();
        if (dueMs != Double.POSITIVE_INFINITY) {
            dispatcher.after(Math.max(1, dueMs - nowMs()), () -> {
                if (timerGeneration == timer && !closed) {
                    writeDue();
                }
            });
        }
    }

    /** On the writer's thread. */
    private void write(StateWrite write) {
        IOException failure = null;
        try {
            folder.write(write);
        } catch (IOException e) {
            failure = e;
        } catch (RuntimeException e) {
            failure = new IOException(e);
        }
        IOException outcome = failure;
        dispatcher.loop().execute(() -> writeEnded(outcome));
    }

    /** {@code failure}: null if the write succeeded. */
    private void writeEnded(IOException failure) {
        if (failure == null) {
            store.writeSucceeded(nowMs());
            if (failureLogged) {
                failureLogged = false;
                dispatcher.log("state: written again, folder=" + folder.path());
            }
        } else {
            store.writeFailed(nowMs());
            logFailure("can't be written", failure);
        }
        writeDue();
    }

    private void logFailure(String problem, Exception cause) {
        if (!failureLogged) {
            failureLogged = true;
            dispatcher.log("state: " + problem + " and is retried, folder=" + folder.path() + " cause=" + cause);
        }
    }

    // ---- the lock

    /**
     * What a try for the lock came to.
     *
     * @param held whether this process has it
     * @param header of the files that the process before has written; null where there are none
     * @param failure null if the folder can be used
     */
    private record LockOutcome(boolean held, StateFileHeader header, Exception failure) {}

    private void acquireLock() {
        if (lockPending || closed) {
            return;
        }
        lockPending = true;
        thread.execute(() -> {
            LockOutcome outcome = tryLock();
            dispatcher.loop().execute(() -> lockAttemptEnded(outcome));
        });
    }

    /** On the writer's thread. */
    private LockOutcome tryLock() {
        try {
            if (!folder.tryLock()) {
                return new LockOutcome(false, null, null);
            }
            OpenedState state = folder.read(instance, fleet);
            if (state.findings().stream().anyMatch(f -> f.severity() == Severity.UNUSABLE)) {
                folder.setAside();
            }
            return new LockOutcome(true, state.header(), null);
        } catch (IOException | RuntimeException e) {
            return new LockOutcome(false, null, e);
        }
    }

    private void lockAttemptEnded(LockOutcome outcome) {
        lockPending = false;
        if (outcome.held()) {
            hasLock = true;
            store.continueAfter(outcome.header());
            writeDue();
            return;
        }
        if (outcome.failure() != null) {
            logFailure("can't be used", outcome.failure());
        }
        dispatcher.after(outcome.failure() != null ? FOLDER_RETRY_MS : LOCK_RETRY_MS, this::acquireLock);
    }

    /** Whether this process alone writes to the folder. */
    boolean hasLock() {
        return hasLock;
    }

    // ---- the end

    /** Writes all records a last time and releases the folder; does not wait for that. */
    void close() {
        closed = true;
        StateWrite last = hasLock ? store.finalWrite() : null;
        thread.execute(() -> {
            try {
                if (last != null) {
                    folder.write(last);
                }
                folder.close();
            } catch (IOException | RuntimeException e) {
                System.err.println("state: the final write failed, folder=" + folder.path() + " cause=" + e);
            }
        });
        thread.shutdown();
    }

    /** Waits for the final write within bounds; not to be called on the event loop. */
    void awaitClosed() {
        try {
            thread.awaitTermination(FINAL_WRITE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
