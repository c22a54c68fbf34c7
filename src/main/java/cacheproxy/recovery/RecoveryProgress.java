package cacheproxy.recovery;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The way of one instance from its start to full service, by evidence: it is starting until it has a list, recovering
 * until it serves what it is asked, and serving from then on. That a list of any age serves is all that can be known of
 * it while discovery has nothing newer to tell, as a watch that has no news says nothing; who is asked nothing waits a
 * little for such news. A clock alone ends it only after {@link #MAX_RECOVERY_MS}: by then nothing is to be had by
 * waiting, and what others do for one that recovers has to end.
 */
public final class RecoveryProgress {
    /** Where an instance stands. */
    public enum Stage {
        STARTING("starting"),
        RECOVERING("recovering"),
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

    /** The longest that an instance may call itself recovering. */
    public static final double MAX_RECOVERY_MS = 30_000;
    /** What was asked and served is looked at over so long. */
    static final double WINDOW_MS = 2000;
    /** So many requests say something. */
    static final long MIN_REQUESTS = 10;
    /** Of what is asked, so much has to be served. */
    static final double MIN_SERVED_RATIO = 0.95;
    /** Who is asked nothing has nothing to show for longer than this. */
    static final double IDLE_WAIT_MS = 1000;
    /** And where nobody has told the list, for longer than this. */
    static final double UNCONFIRMED_LIST_WAIT_MS = 3000;

    private record Mark(double atMs, RequestCounts sample) {}

    private final double startedMs;
    private final Deque<Mark> window = new ArrayDeque<>();
    private Stage stage = Stage.STARTING;
    private double listMs = Double.NaN;
    private double confirmedMs = Double.NaN;
    private double servingMs = Double.NaN;
    private boolean endedByTimeout;

    /** Begins at a time, with nothing. */
    public RecoveryProgress(double startedMs) {
        this.startedMs = startedMs;
    }

    /** There is a list to work with; {@code firstHand}: from discovery or the process before. */
    public void listAvailable(double nowMs, boolean firstHand) {
        if (Double.isNaN(listMs)) {
            listMs = nowMs;
        }
        if (firstHand && Double.isNaN(confirmedMs)) {
            confirmedMs = nowMs;
        }
    }

    /** The list had to be let go of. */
    public void listLost() {
        if (stage != Stage.SERVING) {
            listMs = Double.NaN;
        }
    }

    /** Time has passed; what has been done since the start. Some times a second. */
    public Stage update(double nowMs, RequestCounts now) {
        if (stage == Stage.SERVING) {
            return stage;
        }
        window.addLast(new Mark(nowMs, now));
        while (window.size() > 2 && nowMs - window.peekFirst().atMs() > WINDOW_MS) {
            window.pollFirst();
        }
        stage = Double.isNaN(listMs) ? Stage.STARTING : Stage.RECOVERING;
        endedByTimeout = nowMs - startedMs >= MAX_RECOVERY_MS && stage == Stage.RECOVERING;
        if (endedByTimeout || (stage == Stage.RECOVERING && isServing(nowMs, now))) {
            stage = Stage.SERVING;
            servingMs = nowMs;
            window.clear();
        }
        return stage;
    }

    private boolean isServing(double nowMs, RequestCounts now) {
        Mark first = window.peekFirst();
        RequestCounts did = now.since(first.sample());
        if (did.received() >= MIN_REQUESTS) {
            // What is under way has been asked and not served yet; it is not held against the instance twice.
            return did.served() >= MIN_SERVED_RATIO * (did.served() + did.rejected())
                    && did.served() >= MIN_REQUESTS / 2;
        }
        return did.rejected() == 0
                && (Double.isNaN(confirmedMs)
                        ? nowMs - listMs >= UNCONFIRMED_LIST_WAIT_MS
                        : nowMs - confirmedMs >= IDLE_WAIT_MS);
    }

    /** Where it stands. */
    public Stage stage() {
        return stage;
    }

    /** From the start until there was a list; NaN while there is none. */
    public double listAfterMs() {
        return listMs - startedMs;
    }

    /** From the start until the list was at first hand. */
    public double confirmedAfterMs() {
        return confirmedMs - startedMs;
    }

    /** From the start until it served. */
    public double servingAfterMs() {
        return servingMs - startedMs;
    }

    /** Whether only the bound ended it. */
    public boolean endedByTimeout() {
        return endedByTimeout;
    }
}
