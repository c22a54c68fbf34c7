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
 * Performs the writes of a {@link RecordStore} on its own thread, which may block on the disk. Writes nothing while
 * another process, such as the predecessor in a takeover, holds the folder's lock. When the folder becomes unusable,
 * that is logged once; requests are not affected.
 *
 * <p>Event loop only, except for {@link #awaitClosed}.
 */
final class StateFolderWriter {
    /** The delay before the next attempt when the folder could not be used. */
    private static final double FOLDER_RETRY_MS = 5000;
    /** The delay before the next attempt while another process holds the lock. */
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
    /** Incremented whenever a timer is set or becomes obsolete; a timer of an earlier generation does nothing. */
    private long timerGeneration;

    StateFolderWriter(StateFolder folder, String instance, String fleet, RecordStore store) {
        this.folder = folder;
        this.instance = instance;
        this.fleet = fleet;
        this.store = store;
    }

    /** Sets the dispatcher whose event loop and log are used from now on. */
    void start(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /** The monotonic clock of the record store, in milliseconds. */
    static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** Starts the write that is due, or sets a timer for the next one. To be called when a record has changed. */
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

    /** Runs on the writer's thread. */
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
                dispatcher.log("state: write succeeded again, folder=" + folder.path());
            }
        } else {
            store.writeFailed(nowMs());
            logFailure("write failed", failure);
        }
        writeDue();
    }

    private void logFailure(String problem, Exception cause) {
        if (!failureLogged) {
            failureLogged = true;
            dispatcher.log("state: " + problem + ", will be retried, folder=" + folder.path() + " cause=" + cause);
        }
    }

    // ---- the lock

    /**
     * The result of an attempt to take the lock.
     *
     * @param locked whether this process holds the lock
     * @param header the header of the existing files; null if there are none
     * @param failure the reason why the folder can't be used; null if it can
     */
    private record LockOutcome(boolean locked, StateFileHeader header, Exception failure) {}

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

    /** Runs on the writer's thread. */
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
        if (outcome.locked()) {
            hasLock = true;
            store.continueAfter(outcome.header());
            writeDue();
            return;
        }
        if (outcome.failure() != null) {
            logFailure("folder can't be used", outcome.failure());
        }
        dispatcher.after(outcome.failure() != null ? FOLDER_RETRY_MS : LOCK_RETRY_MS, this::acquireLock);
    }

    /** Whether this process holds the folder's lock, so that no other process writes to it. */
    boolean hasLock() {
        return hasLock;
    }

    // ---- close

    /** Starts a final write of all records, which then releases the folder; does not wait for it. */
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
                System.err.println("state: final write failed, folder=" + folder.path() + " cause=" + e);
            }
        });
        thread.shutdown();
    }

    /** Waits for the final write, for a limited time; not to be called on the event loop. */
    void awaitClosed() {
        try {
            thread.awaitTermination(FINAL_WRITE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
