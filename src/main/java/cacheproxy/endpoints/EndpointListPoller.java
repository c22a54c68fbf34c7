package cacheproxy.endpoints;

import cacheproxy.backoff.ExponentialBackoff;
import cacheproxy.backoff.FailureBackoff;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides when to poll discovery for the endpoint list, with which kind of poll, and when to cancel a poll, so that a
 * change is known within {@link EndpointListFreshness#MAX_STALENESS_MS} regardless of earlier failures. The rules, and
 * the classes that implement them:
 *
 * <ul>
 *   <li>An overdue poll stays pending, and another is sent in parallel on a new connection. Cancelling the first could
 *       lose a response that is about to arrive, and would lose every response if responses take longer than the
 *       timeout. The first response is used. Timeouts: {@link PollTimeouts}.
 *   <li>After a kind of poll has failed, another kind is used: {@link PollKindSelector}.
 *   <li>After a poll that failed quickly, the next poll is delayed: {@link PollBackoff}.
 *   <li>After an immediate response without a new version, the next poll starts no earlier than
 *       {@link #MIN_POLL_INTERVAL_MS} after the start of the answered one.
 * </ul>
 *
 * <p>Pure decision logic: takes events with their times, in milliseconds of one monotonic clock, and returns the
 * actions to execute. Not thread-safe.
 */
public final class EndpointListPoller {
    /** The maximum number of pending polls, each of which uses a separate connection. */
    static final int MAX_PENDING_POLLS = 3;

    /** The minimum time between the starts of two polls if the first was answered immediately without a new version. */
    static final double MIN_POLL_INTERVAL_MS = 100;
    /**
     * The maximum delay after a failure at a shared discovery service; limited because a rejected poll may follow one
     * that was left unanswered.
     */
    static final double MAX_RETRY_DELAY_MS = 2000;
    /** The delay after a failure at an agent, which serves no other instance. */
    static final double AGENT_RETRY_DELAY_MS = 250;

    private record PendingPoll(int id, PollKind kind, double sentMs, double waitMs, double overdueMs) {
        PendingPoll overdueAt(double ms) {
            return new PendingPoll(id, kind, sentMs, waitMs, ms);
        }
    }

    private final SplittableRandom random;
    private final PollKindSelector kindSelector;
    /** The time beyond its wait after which a poll is cancelled; grows with each consecutive cancelled poll. */
    private final FailureBackoff cancelAfter = new FailureBackoff(
            ExponentialBackoff.ofDoublings(PollTimeouts.CANCEL_AFTER_MS, PollTimeouts.MAX_CANCEL_DOUBLINGS));
    /** Oldest first. */
    private final List<PendingPoll> pending = new ArrayList<>();

    private PollerSettings settings;
    private PollBackoff backoff;
    private boolean running;
    /** Whether the next watch directly follows an answered watch or delta. */
    private boolean continuesWatch;

    private int lastId;
    /** The earliest time of the next poll, except for polls sent because a peer is ahead. */
    private double nextPollMs = Double.POSITIVE_INFINITY;

    /**
     * Creates a poller that sends nothing before {@link #start}.
     *
     * @param seed different for each instance, so that instances do not poll at the same time
     */
    public EndpointListPoller(PollerSettings settings, long seed) {
        random = new SplittableRandom(seed);
        kindSelector = new PollKindSelector(random);
        updateSettings(settings);
    }

    /** Uses these settings for later polls and resets the backoff. */
    public void updateSettings(PollerSettings next) {
        settings = next;
        backoff = new PollBackoff(next.maxPollIntervalMs());
    }

    /** Starts following the list; pending polls are cancelled. */
    public List<PollAction> start(double nowMs) {
        List<PollAction> actions = stop();
        running = true;
        kindSelector.onStart();
        nextPollMs = nowMs;
        actions.addAll(onTimer(nowMs));
        return actions;
    }

    /** Stops following the list; pending polls are cancelled. */
    public List<PollAction> stop() {
        List<PollAction> actions = new ArrayList<>();
        cancelAll(actions);
        running = false;
        continuesWatch = false;
        nextPollMs = Double.POSITIVE_INFINITY;
        return actions;
    }

    private void cancelAll(List<PollAction> actions) {
        pending.forEach(poll -> actions.add(new CancelPoll(poll.id())));
        pending.clear();
    }

    /** Whether the poller has been started and not stopped. */
    public boolean isRunning() {
        return running;
    }

    /**
     * A poll was answered and its response is in use. Ignored if the poll is not pending.
     *
     * @param newVersion whether the response has a higher version than all before it
     */
    public List<PollAction> onResponse(double nowMs, int id, boolean newVersion) {
        PendingPoll answered = remove(id);
        List<PollAction> actions = new ArrayList<>();
        if (answered == null) {
            return actions;
        }
        backoff.reset();
        cancelAfter.reset();
        kindSelector.onResponse(answered.kind());
        if (answered.kind() != PollKind.SNAPSHOT) {
            continuesWatch = true;
            cancelAll(actions); // the next watch returns anything newer
        }
        nextPollMs = newVersion ? nowMs : Math.max(nowMs, answered.sentMs() + MIN_POLL_INTERVAL_MS);
        actions.addAll(onTimer(nowMs));
        return actions;
    }

    /** The response to a poll has started to arrive, so the poll no longer waits in discovery's queue. */
    public List<PollAction> onResponseStarted(double nowMs, int id) {
        double completeMs = nowMs + PollTimeouts.BODY_MS;
        pending.replaceAll(poll -> poll.id() == id ? poll.overdueAt(Math.min(poll.overdueMs(), completeMs)) : poll);
        return List.of();
    }

    /** A poll ended without a usable response. Ignored if the poll is not pending. */
    public List<PollAction> onFailure(double nowMs, int id, PollFailure failure) {
        PendingPoll failed = remove(id);
        if (failed == null) {
            return List.of();
        }
        continuesWatch = false;
        kindSelector.onFailure(failure);
        delayAfter(nowMs, failed);
        return onTimer(nowMs);
    }

    private void delayAfter(double nowMs, PendingPoll failed) {
        double delayMs = settings.sharedDiscovery()
                ? Math.min(MAX_RETRY_DELAY_MS, backoff.nextDelayMs(nowMs - failed.sentMs(), random))
                : AGENT_RETRY_DELAY_MS;
        nextPollMs = nowMs + delayMs;
    }

    /** A peer holds a newer version than this instance; an additional poll may fetch it. */
    public List<PollAction> onPeerAhead(double nowMs) {
        // Polls by all instances that learn of the same version would overload a shared discovery service.
        if (!running || settings.sharedDiscovery() || pending.isEmpty()) {
            return List.of();
        }
        List<PollAction> actions = new ArrayList<>();
        if (pending.size() < MAX_PENDING_POLLS) {
            send(nowMs, PollKind.DELTA, actions);
        }
        return actions;
    }

    /** Removes a pending poll; returns null if it is not pending. */
    private PendingPoll remove(int id) {
        for (Iterator<PendingPoll> i = pending.iterator(); i.hasNext(); ) {
            PendingPoll poll = i.next();
            if (poll.id() == id) {
                i.remove();
                return poll;
            }
        }
        return null;
    }

    /** Returns when to call {@link #onTimer} next, in milliseconds; infinite if it need not be called. */
    public double nextTimerMs() {
        double timerMs = Double.POSITIVE_INFINITY;
        for (PendingPoll poll : pending) {
            timerMs = Math.min(timerMs, cancelMs(poll));
        }
        if (!running) {
            return timerMs;
        }
        double sendMs = pending.isEmpty() ? nextPollMs : Math.max(nextPollMs, newest().overdueMs());
        return Math.min(timerMs, sendMs);
    }

    private PendingPoll newest() {
        return pending.get(pending.size() - 1);
    }

    /** Cancels and sends the polls that are due; does nothing before {@link #nextTimerMs}. */
    public List<PollAction> onTimer(double nowMs) {
        List<PollAction> actions = new ArrayList<>();
        cancelExpired(nowMs, actions);
        if (!running || nowMs < nextPollMs) {
            return actions;
        }
        if (pending.isEmpty()) {
            send(nowMs, kindSelector.next(settings), actions);
        } else if (newest().overdueMs() <= nowMs) {
            kindSelector.onOverdue();
            continuesWatch = false;
            cancelSecondOldestIfFull(actions);
            send(nowMs, kindSelector.besideOverdue(settings), actions);
        }
        return actions;
    }

    private void cancelExpired(double nowMs, List<PollAction> actions) {
        for (PendingPoll poll : List.copyOf(pending)) {
            if (cancelMs(poll) <= nowMs) {
                pending.remove(poll);
                actions.add(new CancelPoll(poll.id()));
                cancelAfter.recordFailure(); // the remaining polls get a longer timeout
                delayAfter(nowMs, poll);
            }
        }
    }

    /** Returns the time at which a poll is cancelled. */
    private double cancelMs(PendingPoll poll) {
        return poll.sentMs() + poll.waitMs() + cancelAfter.delayMs();
    }

    /**
     * Cancels the second-oldest poll if the maximum is reached: the oldest is the closest to a late response and keeps
     * its full timeout.
     */
    private void cancelSecondOldestIfFull(List<PollAction> actions) {
        if (pending.size() >= MAX_PENDING_POLLS) {
            actions.add(new CancelPoll(pending.remove(1).id()));
        }
    }

    private void send(double nowMs, PollKind kind, List<PollAction> actions) {
        double waitMs = PollTimeouts.waitMs(kind, random);
        boolean othersPending = !pending.isEmpty();
        double overdueMs = nowMs + PollTimeouts.overdueAfterMs(settings, kind, waitMs, othersPending, continuesWatch);
        PendingPoll poll = new PendingPoll(++lastId, kind, nowMs, waitMs, overdueMs);
        pending.add(poll);
        kindSelector.onPollSent(kind);
        nextPollMs = nowMs;
        actions.add(new StartPoll(poll.id(), kind, waitMs, othersPending));
    }
}
