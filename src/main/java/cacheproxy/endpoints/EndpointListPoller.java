package cacheproxy.endpoints;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Which calls for the list of servers are made, in which form, and when each is given up. A change that discovery has
 * counts as told {@link PollBackoff#MAX_STALENESS_MS} after it could be learnt, by whatever form of call, so:
 *
 * <ul>
 *   <li>A call that is overdue is not given up for the next one, which would lose its answer just before it comes, for
 *       ever where answers take longer than a call is waited for. It stays out, and another begins beside it, on a
 *       connection of its own and in another form. The first answer counts.
 *   <li>A form that has failed is followed by another: a watch by a poll for changes, and where answers break off or do
 *       not come, this by the whole list.
 *   <li>How long a call may stay out at the very most doubles each time that passes without an answer.
 *   <li>After a failure that came at once there is a pause, which grows ({@link PollBackoff}).
 * </ul>
 *
 * <p>Where discovery is one service for all instances, a whole list costs it as much as many changes, and all instances
 * at once would jam it. There only some of them ask for it, and pass on what they are told.
 */
public final class EndpointListPoller {
    /** How long a watch may wait for news, in milliseconds, give or take a tenth. */
    static final double WAIT_MS = 1600;

    private static final double WAIT_SPREAD = 0.1;
    /**
     * How much longer than the wait of a watch a call may take before it is overdue. With the shortest wait that is
     * over the 3 s after which discovery turns away calls that stand in its line.
     */
    static final double PATIENCE_MS = 1600;
    /** The same for a watch that goes on, which stands in no line. */
    static final double CONTINUED_PATIENCE_MS = 1000;
    /** The same where lists are pushed: the agent has no line. */
    static final double AGENT_PATIENCE_MS = 500;
    /** Where lists are pushed, a call that has failed is followed by another after this time. */
    static final double AGENT_PAUSE_MS = 250;
    /** Where discovery is asked, no pause is longer: a form of call that is refused may follow one that was silent. */
    static final double MOST_PAUSE_MS = 2000;
    /** How long a call stays out at first, beyond its wait: longer than a change may stay unknown. */
    static final double LIMIT_MS = 6500;

    /** An answer that has begun is overdue after this time. */
    static final double BODY_MS = 1000;

    private static final int MOST_DOUBLINGS = 3;
    /** So many calls are out at most, each on a connection of its own. */
    static final int MOST_OUT = 3;
    /** An answer that brings nothing new and did not wait is followed by the next call so long after its own began. */
    static final double PACE_MS = 100;
    /** The calls of so many instances are no long line. */
    private static final int FEW_INSTANCES = 10;
    /** Of all instances, so many ask for the whole list where another form fails. */
    private static final double WHOLE_LISTS = 2;

    /** The forms of a call. */
    public enum PollKind {
        /** Waits until there is something newer than the version held. */
        WATCH("WATCH"),
        /** Asks for what is newer and does not wait. */
        DELTA("POLL"),
        /** Asks for the whole list. */
        SNAPSHOT("WHOLE");

        private final String logName;

        PollKind(String logName) {
            this.logName = logName;
        }

        /** Its name in the log. */
        public String logName() {
            return logName;
        }
    }

    /** Why a call has ended without an answer that can be used. */
    public enum PollFailure {
        /** No connection, or turned away: whatever its form, it would have been. */
        REJECTED,
        /** It broke off, or its answer can't be used. */
        BROKEN
    }

    /** What is to be done. */
    public sealed interface PollAction {}

    /**
     * A call is to be made.
     *
     * @param id it is told of under this number
     * @param waitMs how long discovery may wait for news
     * @param newConnection whether a connection that stood before may not be used
     */
    public record StartPoll(int id, PollKind kind, double waitMs, boolean newConnection) implements PollAction {}

    /** A call is to be ended; nothing is told of it any more. */
    public record CancelPoll(int id) implements PollAction {}

    /**
     * What the settings say.
     *
     * @param sharedDiscovery whether discovery is one service for all instances; else lists are pushed by an agent on
     *     this machine
     * @param maxPollIntervalMs within which a proxy with no watch has to ask
     * @param instanceCount how many there are of this tier, at least 1
     * @param gossipEnabled whether instances pass on to each other what they are told
     */
    public record PollerSettings(
            boolean sharedDiscovery, double maxPollIntervalMs, int instanceCount, boolean gossipEnabled) {}

    private record Out(int id, PollKind form, double begunMs, double waitMs, double overdueMs) {
        Out overdueAt(double ms) {
            return new Out(id, form, begunMs, waitMs, ms);
        }
    }

    private final SplittableRandom random;
    private final List<Out> out = new ArrayList<>();
    private PollerSettings settings;
    private PollBackoff pause;
    private boolean isRunning;
    private boolean continues;
    private int lastId;
    private PollKind lastForm = PollKind.SNAPSHOT;
    /** Calls that brought no answer since a watch or a poll was answered last, and that another form may have. */
    private int unanswered;
    /** Whether a call has failed since one was answered last. */
    private boolean failedBefore;
    /** How often in a row a call was given up at its limit. */
    private int givenUp;

    private double nextMs = Double.POSITIVE_INFINITY;

    /** {@code seed}: apart from that of other instances, so that they do not call at once. */
    public EndpointListPoller(PollerSettings settings, long seed) {
        random = new SplittableRandom(seed);
        updateSettings(settings);
    }

    /** Goes on by other settings; calls that are out are none of its. */
    public void updateSettings(PollerSettings next) {
        settings = next;
        pause = new PollBackoff(next.maxPollIntervalMs());
    }

    /** The list is to be followed from now on, by new calls. */
    public List<PollAction> start(double nowMs) {
        List<PollAction> orders = stop();
        isRunning = true;
        unanswered = 0;
        nextMs = nowMs;
        orders.addAll(onTimer(nowMs));
        return orders;
    }

    /** The list is not to be followed any more. */
    public List<PollAction> stop() {
        List<PollAction> orders = new ArrayList<>();
        giveUpAll(orders);
        isRunning = false;
        continues = false;
        nextMs = Double.POSITIVE_INFINITY;
        return orders;
    }

    private void giveUpAll(List<PollAction> orders) {
        out.forEach(o -> orders.add(new CancelPoll(o.id())));
        out.clear();
    }

    /** Whether the list is followed. */
    public boolean isRunning() {
        return isRunning;
    }

    /**
     * A call was answered, and the answer is in use.
     *
     * @param news whether it is newer than all that was known before
     */
    public List<PollAction> onResponse(double nowMs, int id, boolean news) {
        Out answered = remove(id);
        List<PollAction> orders = new ArrayList<>();
        if (answered == null) {
            return orders;
        }
        pause.reset();
        givenUp = 0;
        failedBefore = false;
        if (answered.form() != PollKind.SNAPSHOT) {
            unanswered = 0;
            continues = true;
            giveUpAll(orders); // what is newer comes by this one's next
        }
        nextMs = news ? nowMs : Math.max(nowMs, answered.begunMs() + PACE_MS);
        orders.addAll(onTimer(nowMs));
        return orders;
    }

    /** An answer has begun to come: the call stands in no line any more. */
    public List<PollAction> onResponseStarted(double nowMs, int id) {
        out.replaceAll(o -> o.id() == id ? o.overdueAt(Math.min(o.overdueMs(), nowMs + BODY_MS)) : o);
        return List.of();
    }

    /** A call has ended without an answer that can be used. */
    public List<PollAction> onFailure(double nowMs, int id, PollFailure why) {
        Out failed = remove(id);
        if (failed == null) {
            return List.of();
        }
        continues = false;
        failedBefore = true;
        if (why == PollFailure.BROKEN) {
            unanswered++;
        }
        pauseAfter(nowMs, failed);
        return onTimer(nowMs);
    }

    private void pauseAfter(double nowMs, Out failed) {
        double pauseMs = settings.sharedDiscovery()
                ? Math.min(MOST_PAUSE_MS, pause.nextDelayMs(nowMs - failed.begunMs(), random))
                : AGENT_PAUSE_MS;
        nextMs = nowMs + pauseMs;
    }

    /** A peer has been told of a version that this instance has not: another call may be worth it. */
    public List<PollAction> onPeerAhead(double nowMs) {
        // One discovery for all would be jammed by calls that peers' words bring about.
        if (!isRunning || settings.sharedDiscovery() || out.isEmpty()) {
            return List.of();
        }
        List<PollAction> orders = new ArrayList<>();
        if (out.size() < MOST_OUT) {
            begin(nowMs, PollKind.DELTA, orders);
        }
        return orders;
    }

    private Out remove(int id) {
        for (Iterator<Out> i = out.iterator(); i.hasNext(); ) {
            Out o = i.next();
            if (o.id() == id) {
                i.remove();
                return o;
            }
        }
        return null;
    }

    /** When to call {@link #onTimer} next, in milliseconds; infinite for never. */
    public double nextTimerMs() {
        double due = Double.POSITIVE_INFINITY;
        for (Out o : out) {
            due = Math.min(due, limitMs(o));
        }
        if (!isRunning) {
            return due;
        }
        double next = out.isEmpty() ? nextMs : Math.max(nextMs, newest().overdueMs());
        return Math.min(due, next);
    }

    private Out newest() {
        return out.get(out.size() - 1);
    }

    /** The time has come, or a timer thinks so. */
    public List<PollAction> onTimer(double nowMs) {
        List<PollAction> orders = new ArrayList<>();
        for (Out o : List.copyOf(out)) {
            if (limitMs(o) <= nowMs) {
                out.remove(o);
                orders.add(new CancelPoll(o.id()));
                givenUp++;
                pauseAfter(nowMs, o);
            }
        }
        if (!isRunning || nowMs < nextMs) {
            return orders;
        }
        if (out.isEmpty()) {
            begin(nowMs, formAfterFailures(), orders);
        } else if (newest().overdueMs() <= nowMs) {
            unanswered++;
            continues = false;
            makeRoom(orders);
            begin(nowMs, formBesideAnOverdueCall(), orders);
        }
        return orders;
    }

    /** The oldest call is nearest to a late answer: it stays out for all of its time. */
    private void makeRoom(List<PollAction> orders) {
        if (out.size() >= MOST_OUT) {
            orders.add(new CancelPoll(out.remove(1).id()));
        }
    }

    private PollKind formAfterFailures() {
        if (lastForm == PollKind.WATCH && failedBefore) {
            return unanswered > 1 && mayAskForAll() ? PollKind.SNAPSHOT : PollKind.DELTA;
        }
        return lastForm == PollKind.DELTA && unanswered > 1 && mayAskForAll() ? PollKind.SNAPSHOT : PollKind.WATCH;
    }

    private PollKind formBesideAnOverdueCall() {
        if (lastForm == PollKind.SNAPSHOT) {
            return PollKind.WATCH;
        }
        return mayAskForAll() ? PollKind.SNAPSHOT : PollKind.DELTA;
    }

    private boolean mayAskForAll() {
        return !settings.sharedDiscovery()
                || !settings.gossipEnabled()
                || random.nextDouble() * settings.instanceCount() < WHOLE_LISTS;
    }

    private void begin(double nowMs, PollKind form, List<PollAction> orders) {
        double spread = 1 - WAIT_SPREAD + 2 * WAIT_SPREAD * random.nextDouble(); // or those of all end together
        double waitMs = form == PollKind.WATCH ? WAIT_MS * spread : 0;
        boolean newConnection = !out.isEmpty();
        Out begun = new Out(++lastId, form, nowMs, waitMs, nowMs + overdueAfterMs(form, waitMs));
        out.add(begun);
        lastForm = form;
        nextMs = nowMs;
        orders.add(new StartPoll(begun.id(), form, waitMs, newConnection));
    }

    /** When a call is given up: later for those that are out as well once another has been. */
    private double limitMs(Out call) {
        return call.begunMs() + call.waitMs() + LIMIT_MS * (1 << Math.min(givenUp, MOST_DOUBLINGS));
    }

    /**
     * Of a call that begins beside an overdue one. What stands in line longest is another call, so it need not wait out
     * a line; where many instances make the line long, peers tell sooner than a further call would, and it does.
     */
    private double besidePatienceMs() {
        return settings.instanceCount() <= FEW_INSTANCES ? PATIENCE_MS : 2 * PATIENCE_MS;
    }

    private double overdueAfterMs(PollKind form, double waitMs) {
        if (!settings.sharedDiscovery()) {
            return waitMs + AGENT_PATIENCE_MS;
        }
        if (!out.isEmpty()) {
            return waitMs + besidePatienceMs();
        }
        if (form != PollKind.WATCH) {
            return WAIT_MS + PATIENCE_MS;
        }
        return waitMs + (continues ? CONTINUED_PATIENCE_MS : PATIENCE_MS);
    }
}
