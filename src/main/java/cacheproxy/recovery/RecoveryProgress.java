package cacheproxy.recovery;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The stage of one instance between its start and full service, determined from evidence: it is starting until it has
 * an endpoint list, recovering until it serves the requests that it receives, and serving from then on.
 *
 * <p>As long as discovery sends nothing newer, a watch without events does not show how old the list is. Requests that
 * are served by the list are then the only evidence. An instance that receives few requests waits a short time for an
 * event from discovery. {@link #MAX_RECOVERY_MS} ends recovery without evidence: waiting longer gains nothing, and the
 * support by other instances for a recovering one has to end.
 *
 * <p>Times are milliseconds of one clock. Not thread-safe.
 */
public final class RecoveryProgress {
    /** The stages in their order; only the loss of the endpoint list leads back. */
    public enum Stage {
        /** There is no endpoint list. */
        STARTING("starting"),
        /** There is a list, but it is not known yet whether requests are served by it. */
        RECOVERING("recovering"),
        /** Full service; this stage is final. */
        SERVING("serving");

        private final String wireName;

        Stage(String wireName) {
            this.wireName = wireName;
        }

        /** Its name in status answers and log events. */
        public String wireName() {
            return wireName;
        }
    }

    /** Recovery ends at the latest this long after the start of the process, once there is an endpoint list. */
    public static final double MAX_RECOVERY_MS = 30_000;
    /** The window over which requests are evaluated. */
    static final double WINDOW_MS = 2000;
    /** Fewer received requests in the window are no evidence. */
    static final long MIN_REQUESTS = 10;
    /** The part of the requests completed in the window that has to be served. */
    static final double MIN_SERVED_RATIO = 0.95;
    /** With few requests: how long to wait after the list was confirmed. */
    static final double IDLE_WAIT_MS = 1000;
    /** With few requests: how long to wait after an unconfirmed list became available. */
    static final double UNCONFIRMED_LIST_WAIT_MS = 3000;

    private record Reading(double atMs, RequestCounts counts) {}

    private final double startedMs;
    private final Deque<Reading> window = new ArrayDeque<>();
    private Stage stage = Stage.STARTING;
    private double listMs = Double.NaN;
    private double confirmedMs = Double.NaN;
    private double servingMs = Double.NaN;
    private boolean endedByTimeout;

    /** Begins at the start of the process, without an endpoint list. */
    public RecoveryProgress(double startedMs) {
        this.startedMs = startedMs;
    }

    /**
     * An endpoint list is available.
     *
     * @param confirmed whether it comes from discovery or from the process that this one took over from
     */
    public void listAvailable(double nowMs, boolean confirmed) {
        if (Double.isNaN(listMs)) {
            listMs = nowMs;
        }
        if (confirmed && Double.isNaN(confirmedMs)) {
            confirmedMs = nowMs;
        }
    }

    /** The endpoint list was discarded. */
    public void listLost() {
        if (stage != Stage.SERVING) {
            listMs = Double.NaN;
        }
    }

    /** Updates the stage by the counts since the start, and returns it; to be called several times a second. */
    public Stage update(double nowMs, RequestCounts counts) {
        if (stage == Stage.SERVING) {
            return stage;
        }
        window.addLast(new Reading(nowMs, counts));
        while (window.size() > 2 && nowMs - window.peekFirst().atMs() > WINDOW_MS) {
            window.pollFirst();
        }
        stage = Double.isNaN(listMs) ? Stage.STARTING : Stage.RECOVERING;
        endedByTimeout = nowMs - startedMs >= MAX_RECOVERY_MS && stage == Stage.RECOVERING;
        if (endedByTimeout || (stage == Stage.RECOVERING && isServing(nowMs, counts))) {
            stage = Stage.SERVING;
            servingMs = nowMs;
            window.clear();
        }
        return stage;
    }

    private boolean isServing(double nowMs, RequestCounts counts) {
        RequestCounts recent = counts.since(window.peekFirst().counts());
        if (recent.received() >= MIN_REQUESTS) {
            // Requests in progress are received but neither served nor rejected; they do not count against it.
            return recent.served() >= MIN_SERVED_RATIO * (recent.served() + recent.rejected())
                    && recent.served() >= MIN_REQUESTS / 2;
        }
        return recent.rejected() == 0 && hasWaitedLongEnough(nowMs);
    }

    private boolean hasWaitedLongEnough(double nowMs) {
        return Double.isNaN(confirmedMs)
                ? nowMs - listMs >= UNCONFIRMED_LIST_WAIT_MS
                : nowMs - confirmedMs >= IDLE_WAIT_MS;
    }

    /** The stage as of the last {@link #update}. */
    public Stage stage() {
        return stage;
    }

    /** Milliseconds from the start until a list was available; NaN while there is none. */
    public double listAfterMs() {
        return listMs - startedMs;
    }

    /** Milliseconds from the start until the list was confirmed; NaN while it is not. */
    public double confirmedAfterMs() {
        return confirmedMs - startedMs;
    }

    /** Milliseconds from the start until full service; NaN before. */
    public double servingAfterMs() {
        return servingMs - startedMs;
    }

    /** Whether recovery ended only because of {@link #MAX_RECOVERY_MS}. */
    public boolean endedByTimeout() {
        return endedByTimeout;
    }
}
