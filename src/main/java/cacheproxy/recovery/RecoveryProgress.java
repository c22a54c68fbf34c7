package cacheproxy.recovery;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The stage of one instance between its start and full service, by evidence: it is starting until it has an endpoint
 * list, recovering until it serves the requests that it receives, and serving from then on.
 *
 * <p>While discovery sends nothing newer, a watch without events says nothing of the list's age; that requests are
 * served by the list is then all the evidence there is. An instance that receives few requests waits a little for such
 * an event. The clock alone ends recovery after {@link #MAX_RECOVERY_MS}: waiting gains nothing by then, and what
 * others do for a recovering instance has to end.
 *
 * <p>Times are milliseconds of one clock. Not thread-safe.
 */
public final class RecoveryProgress {
    /** Stages in their order; only the loss of the list leads back. */
    public enum Stage {
        /** There is no endpoint list. */
        STARTING("starting"),
        /** There is one, and it isn't known yet whether requests are served by it. */
        RECOVERING("recovering"),
        /** Full service; there is no way back. */
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

    /** Recovery ends this long after the process's start at the latest, once there is an endpoint list. */
    public static final double MAX_RECOVERY_MS = 30_000;
    /** The window over which requests are judged. */
    static final double WINDOW_MS = 2000;
    /** Fewer requests in the window are no evidence. */
    static final long MIN_REQUESTS = 10;
    /** The part of the requests ended in the window that has to have been served. */
    static final double MIN_SERVED_RATIO = 0.95;
    /** With few requests: the wait after the list was confirmed. */
    static final double IDLE_WAIT_MS = 1000;
    /** With few requests: the wait after there was a list that nobody has confirmed. */
    static final double UNCONFIRMED_LIST_WAIT_MS = 3000;

    private record Reading(double atMs, RequestCounts counts) {}

    private final double startedMs;
    private final Deque<Reading> window = new ArrayDeque<>();
    private Stage stage = Stage.STARTING;
    private double listMs = Double.NaN;
    private double confirmedMs = Double.NaN;
    private double servingMs = Double.NaN;
    private boolean endedByTimeout;

    /** Begins at the start of the instance, without a list. */
    public RecoveryProgress(double startedMs) {
        this.startedMs = startedMs;
    }

    /**
     * There is an endpoint list.
     *
     * @param confirmed whether it comes from discovery or from the process that was taken over from
     */
    public void listAvailable(double nowMs, boolean confirmed) {
        if (Double.isNaN(listMs)) {
            listMs = nowMs;
        }
        if (confirmed && Double.isNaN(confirmedMs)) {
            confirmedMs = nowMs;
        }
    }

    /** The list had to be discarded. */
    public void listLost() {
        if (stage != Stage.SERVING) {
            listMs = Double.NaN;
        }
    }

    /** To be called some times a second with the counts since the start; the stage from now on. */
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
            // Pending requests are received and not served yet; they don't count against the instance.
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

    /** Milliseconds from the start until there was a list; NaN while there is none. */
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

    /** Whether only {@link #MAX_RECOVERY_MS} ended it. */
    public boolean endedByTimeout() {
        return endedByTimeout;
    }
}
