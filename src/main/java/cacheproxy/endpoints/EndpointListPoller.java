package cacheproxy.endpoints;

import cacheproxy.backoff.ExponentialBackoff;
import cacheproxy.backoff.FailureBackoff;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides when discovery is polled for the endpoint list, with which kind of poll, and when a poll is cancelled, so
 * that a change is known within {@link EndpointListFreshness#MAX_STALENESS_MS} whatever has failed before. The rules,
 * and where each stands:
 *
 * <ul>
 *   <li>A poll that is overdue stays pending, and another is sent beside it on a new connection: cancelling it would
 *       lose a response just before it comes, for ever where responses take longer than the timeout. The first response
 *       counts. Times: {@link PollTimeouts}.
 *   <li>A kind of poll that has failed is followed by another: {@link PollKindSelector}.
 *   <li>After a failure that came at once the next poll is delayed: {@link PollBackoff}.
 *   <li>A response without news that did not wait is followed by a poll no sooner than {@link #MIN_POLL_INTERVAL_MS}
 *       after its own start.
 * </ul>
 *
 * <p>Pure: takes events with their times, in milliseconds of one monotonic clock, and returns what to do. Not
 * thread-safe.
 */
public final class EndpointListPoller {
    /** So many polls are pending at most, each on a connection of its own. */
    static final int MAX_PENDING_POLLS = 3;

    /** Polls that are answered at once begin no closer to each other than this. */
    static final double MIN_POLL_INTERVAL_MS = 100;
    /**
     * No delay after a failure is longer at a shared discovery: a poll that is rejected may follow one left unanswered.
     */
    static final double MAX_RETRY_DELAY_MS = 2000;
    /** The delay after a failure at an agent, which no other instance polls. */
    static final double AGENT_RETRY_DELAY_MS = 250;

    private record PendingPoll(int id, PollKind kind, double sentMs, double waitMs, double overdueMs) {
        PendingPoll overdueAt(double ms) {
            return new PendingPoll(id, kind, sentMs, waitMs, ms);
        }
    }

    private final SplittableRandom random;
    private final PollKindSelector kindSelector;
    /** Grows with each poll in a row that was cancelled. */
    private final FailureBackoff cancelAfter = new FailureBackoff(
            ExponentialBackoff.ofDoublings(PollTimeouts.CANCEL_AFTER_MS, PollTimeouts.MAX_CANCEL_DOUBLINGS));
    /** The oldest first. */
    private final List<PendingPoll> pending = new ArrayList<>();

    private PollerSettings settings;
    private PollBackoff backoff;
    private boolean running;
    /** Whether the next watch follows an answer to a watch or a delta. */
    private boolean continuesWatch;

    private int lastId;
    /** No poll is sent earlier, unless a peer is ahead. */
    private double nextPollMs = Double.POSITIVE_INFINITY;

    /**
     * Sends nothing yet.
     *
     * @param seed other than that of any other instance, so that they do not poll together
     */
    public EndpointListPoller(PollerSettings settings, long seed) {
        random = new SplittableRandom(seed);
        kindSelector = new PollKindSelector(random);
        updateSettings(settings);
    }

    /** Takes other settings for polls to come; the backoff begins anew. */
    public void updateSettings(PollerSettings next) {
        settings = next;
        backoff = new PollBackoff(next.maxPollIntervalMs());
    }

    /** Begins to follow the list; polls that are pending are cancelled. */
    public List<PollAction> start(double nowMs) {
        List<PollAction> actions = stop();
        running = true;
        kindSelector.onStart();
        nextPollMs = nowMs;
        actions.addAll(onTimer(nowMs));
        return actions;
    }

    /** Ends to follow the list; polls that are pending are cancelled. */
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

    /** Whether the list is followed. */
    public boolean isRunning() {
        return running;
    }

    /**
     * A poll was answered, and its response is in use. Ignored for a poll that is not pending.
     *
     * @param newVersion whether its version is higher than all before
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
            cancelAll(actions); // what is newer comes by the next watch
        }
        nextPollMs = newVersion ? nowMs : Math.max(nowMs, answered.sentMs() + MIN_POLL_INTERVAL_MS);
        actions.addAll(onTimer(nowMs));
        return actions;
    }

    /** The response to a poll has begun to arrive: the poll queues at discovery no more. */
    public List<PollAction> onResponseStarted(double nowMs, int id) {
        double completeMs = nowMs + PollTimeouts.BODY_MS;
        pending.replaceAll(poll -> poll.id() == id ? poll.overdueAt(Math.min(poll.overdueMs(), completeMs)) : poll);
        return List.of();
    }

    /** A poll has ended without a response that can be used. Ignored for a poll that is not pending. */
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

    /** A peer holds a version that this instance does not: a further poll may bring it. */
    public List<PollAction> onPeerAhead(double nowMs) {
        // A shared discovery would be overloaded by the polls of all instances that hear of one version.
        if (!running || settings.sharedDiscovery() || pending.isEmpty()) {
            return List.of();
        }
        List<PollAction> actions = new ArrayList<>();
        if (pending.size() < MAX_PENDING_POLLS) {
            send(nowMs, PollKind.DELTA, actions);
        }
        return actions;
    }

    /** Null if it is not pending. */
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

    /** When to call {@link #onTimer} next, in milliseconds; infinite for never. */
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

    /** {@link #nextTimerMs} may have come; does nothing before it. */
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
                cancelAfter.recordFailure(); // the others may stay longer now
                delayAfter(nowMs, poll);
            }
        }
    }

    /** When a poll is cancelled. */
    private double cancelMs(PendingPoll poll) {
        return poll.sentMs() + poll.waitMs() + cancelAfter.delayMs();
    }

    /** Cancels the second oldest: the oldest is nearest to a late response and keeps all of its time. */
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
