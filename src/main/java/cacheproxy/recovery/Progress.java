package cacheproxy.recovery;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The way of one instance from its start to full service, by evidence: it is starting until it has a list, recovering
 * until it serves what it is asked, and serving from then on. That a list of any age serves is all that can be known of
 * it while discovery has nothing newer to tell, as a watch that has no news says nothing; who is asked nothing waits a
 * little for such news. A clock alone ends it only after {@link #LONGEST_MS}: by then nothing is to be had by waiting,
 * and what others do for one that recovers has to end.
 */
public final class Progress {
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
    public static final double LONGEST_MS = 30_000;
    /** What was asked and served is looked at over so long. */
    static final double SPAN_MS = 2000;
    /** So many requests say something. */
    static final long ENOUGH = 10;
    /** Of what is asked, so much has to be served. */
    static final double SERVED = 0.95;
    /** Who is asked nothing has nothing to show for longer than this. */
    static final double IDLE_MS = 1000;
    /** And where nobody has told the list, for longer than this. */
    static final double UNTOLD_MS = 3000;

    private record Mark(double atMs, Sample sample) {}

    private final double startedMs;
    private final Deque<Mark> marks = new ArrayDeque<>();
    private Stage stage = Stage.STARTING;
    private double listMs = Double.NaN;
    private double toldMs = Double.NaN;
    private double servingMs = Double.NaN;
    private boolean byBound;

    /** Begins at a time, with nothing. */
    public Progress(double startedMs) {
        this.startedMs = startedMs;
    }

    /** There is a list to work with; {@code firstHand}: from discovery or the process before. */
    public void listed(double nowMs, boolean firstHand) {
        if (Double.isNaN(listMs)) {
            listMs = nowMs;
        }
        if (firstHand && Double.isNaN(toldMs)) {
            toldMs = nowMs;
        }
    }

    /** The list had to be let go of. */
    public void unlisted() {
        if (stage != Stage.SERVING) {
            listMs = Double.NaN;
        }
    }

    /** Time has passed; what has been done since the start. Some times a second. */
    public Stage tick(double nowMs, Sample now) {
        if (stage == Stage.SERVING) {
            return stage;
        }
        marks.addLast(new Mark(nowMs, now));
        while (marks.size() > 2 && nowMs - marks.peekFirst().atMs() > SPAN_MS) {
            marks.pollFirst();
        }
        stage = Double.isNaN(listMs) ? Stage.STARTING : Stage.RECOVERING;
        byBound = nowMs - startedMs >= LONGEST_MS && stage == Stage.RECOVERING;
        if (byBound || (stage == Stage.RECOVERING && serves(nowMs, now))) {
            stage = Stage.SERVING;
            servingMs = nowMs;
            marks.clear();
        }
        return stage;
    }

    private boolean serves(double nowMs, Sample now) {
        Mark first = marks.peekFirst();
        Sample did = now.since(first.sample());
        if (did.asked() >= ENOUGH) {
            // What is under way has been asked and not served yet; it is not held against the instance twice.
            return did.served() >= SERVED * (did.served() + did.refused()) && did.served() >= ENOUGH / 2;
        }
        return did.refused() == 0 && (Double.isNaN(toldMs) ? nowMs - listMs >= UNTOLD_MS : nowMs - toldMs >= IDLE_MS);
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
    public double toldAfterMs() {
        return toldMs - startedMs;
    }

    /** From the start until it served. */
    public double servingAfterMs() {
        return servingMs - startedMs;
    }

    /** Whether only the bound ended it. */
    public boolean endedByBound() {
        return byBound;
    }
}
